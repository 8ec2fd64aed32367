/** Counts UDP packets at several addresses: `sink.js CONTROL ADDRESS,ADDRESS...`. */
import {bindUdp} from '../../src/adapters/udp-socket.js';
import {startStandinServer} from '../../standins/standin-control.js';

const [controlAddress, addresses] = process.argv.slice(2);
let packets = 0;
const sockets = await Promise.all(
  addresses.split(',').map(address => bindUdp(address)),
);
sockets.forEach(socket =>
  socket.on('message', () => {
    packets += 1;
  }),
);
await startStandinServer(controlAddress, () => ({packets}));
