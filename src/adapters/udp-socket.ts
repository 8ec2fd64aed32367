/** UDP sockets with the buffer sizes that bursts of packets need. */
import dgram from 'node:dgram';

const BUFFER_BYTES = 4 * 1_024 * 1_024;

/**
 * Opens a socket bound to "ip:port"; port 0 takes any. `onFailure` is told of
 * datagrams that could not be sent, a closed port at the other end included; the
 * datagram is lost, as one in the network may be.
 */
export function bindUdp(
  address: string,
  onFailure: (error: Error) => void = () => undefined,
): Promise<dgram.Socket> {
  const [host, port] = address.split(':');
  const socket = dgram.createSocket({
    type: 'udp4',
    recvBufferSize: BUFFER_BYTES,
    sendBufferSize: BUFFER_BYTES,
    // Every address here is an IP number, so no name is ever looked up.
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

/** Sends to "ip:port". */
export function sendUdp(
  socket: dgram.Socket,
  address: string,
  bytes: Uint8Array,
): void {
  const colon = address.indexOf(':');
  const port = Number(address.slice(colon + 1));
  socket.send(bytes, port, address.slice(0, colon));
}
