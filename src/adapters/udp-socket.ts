/** UDP sockets with buffers large enough for bursts of packets. */
import dgram from 'node:dgram';

const SOCKET_BUFFER_BYTES = 4 * 1_024 * 1_024;

/**
 * Opens a socket bound to "ip:port"; port 0 takes any free port. `onFailure` is called for
 * datagrams that could not be sent, including those to a closed port; they are lost.
 */
export function bindUdp(
  address: string,
  onFailure: (error: Error) => void = () => undefined,
): Promise<dgram.Socket> {
  const [host, port] = address.split(':');
  const socket = dgram.createSocket({
    type: 'udp4',
    recvBufferSize: SOCKET_BUFFER_BYTES,
    sendBufferSize: SOCKET_BUFFER_BYTES,
    // Addresses are always numeric, so DNS is skipped.
    lookup: (name, _options, callback) => callback(null, name, 4),
  });
  return new Promise((resolve, reject) => {
    socket.once('error', reject);
    socket.bind(Number(port), host, () => {
      socket.off('error', reject);
      socket.on('error', onFailure);
      resolve(socket);
    });
  });
}

/** Sends a datagram to "ip:port". */
export function sendUdp(
  socket: dgram.Socket,
  address: string,
  bytes: Uint8Array,
): void {
  const colon = address.indexOf(':');
  const port = Number(address.slice(colon + 1));
  socket.send(bytes, port, address.slice(0, colon));
}
