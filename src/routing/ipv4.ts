/** Parses and formats IPv4 addresses and "ip:port" pairs. */

const OCTETS = 4;
const HIGHEST_OCTET = 255;
const HIGHEST_PORT = 65_535;

/** An IPv4 address and a port. */
export interface SocketAddress {
  /** Unsigned 32-bit number. */
  readonly address: number;
  readonly port: number;
}

/** Parses "a.b.c.d"; returns undefined if the text is not an IPv4 address. */
export function parseIpv4(text: string): number | undefined {
  const parts = text.split('.');
  const valid =
    parts.length === OCTETS &&
    parts.every(
      part => /^\d{1,3}$/.test(part) && Number(part) <= HIGHEST_OCTET,
    );
  return valid
    ? parts.reduce((sum, part) => sum * 256 + Number(part), 0)
    : undefined;
}

/** Formats an address as "a.b.c.d". */
export function formatIpv4(address: number): string {
  return [24, 16, 8, 0].map(shift => (address >>> shift) & 0xff).join('.');
}

/** Parses "a.b.c.d:port"; returns undefined if the text has another form or port 0. */
export function parseSocketAddress(text: string): SocketAddress | undefined {
  const [host, portText, ...rest] = text.split(':');
  const address = parseIpv4(host ?? '');
  const port = /^\d{1,5}$/.test(portText ?? '') ? Number(portText) : 0;
  return address === undefined ||
    rest.length > 0 ||
    port < 1 ||
    port > HIGHEST_PORT
    ? undefined
    : {address, port};
}

/** Formats an address and port as "a.b.c.d:port". */
export function formatSocketAddress(socket: SocketAddress): string {
  return `${formatIpv4(socket.address)}:${socket.port}`;
}
