/** Payload of packets between the stand-ins of callers and backend servers. */

/** Payload of a caller's packet. */
export interface CallerPayload {
  /** "workspace/service" that the caller addresses. */
  readonly service: string;
}

/** Payload of a server's packet. */
export interface ServerPayload {
  /** Id of the server. */
  readonly server: string;
}

/** Encodes a payload as UTF-8. */
export function encodePayload(payload: CallerPayload | ServerPayload): Buffer {
  return Buffer.from('service' in payload ? payload.service : payload.server);
}

/** Decodes a payload to the service or server that it names. */
export function decodePayload(payload: Uint8Array): string {
  return Buffer.from(payload).toString();
}
