/** Relays UDP packets round-robin: `relay.js LISTEN TARGET,TARGET...`. */
import {bindUdp, sendUdp} from '../../src/adapters/udp-socket.js';

const [listen, list] = process.argv.slice(2);
const targets = list.split(',');
const socket = await bindUdp(listen);
let next = 0;
socket.on('message', bytes => {
  next = (next + 1) % targets.length;
  sendUdp(socket, targets[next], bytes);
});
