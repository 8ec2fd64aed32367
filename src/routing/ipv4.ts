/** Conversion of IPv4 addresses and "ip:port" pairs. */

const OCTETS = 4;
const HIGHEST_OCTET = 255;
const HIGHEST_PORT = 65_535;

/** An address and a port. */
export interface SocketAddress {
  /** The IPv4 address as an unsigned 32-bit number. */
  readonly address: number;
  readonly port: number;
}

/** Reads "a.b.c.d"; undefined when the text is no IPv4 address. */
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

/** Writes an address number as "a.b.c.d". */
export function formatIpv4(address: number): string {
  return [24, 16, 8, 0].map(shift => (address >>> shift) & 0xff).join('.');
}

/** Reads "a.b.c.d:port"; undefined when the text is something else. */
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

/** Writes an address and port as "a.b.c.d:port". */
export function formatSocketAddress(socket: SocketAddress): string {
  return `${formatIpv4(socket.address)}:${socket.port}`;
}
