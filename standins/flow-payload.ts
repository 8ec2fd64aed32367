/** What callers write into packets and backend servers answer. */

/** What a caller says of its flow. */
export interface FlowClaim {
  /** "workspace/service" that the caller means. */
  readonly service: string;
}

/** What a server says of itself. */
export interface ServerClaim {
  /** The server's id. */
  readonly server: string;
}

/** Writes a claim. */
export function writeClaim(claim: FlowClaim | ServerClaim): Buffer {
  return Buffer.from('service' in claim ? claim.service : claim.server);
}

/** Reads a claim as plain text. */
export function readClaim(payload: Uint8Array): string {
  return Buffer.from(payload).toString();
}
