import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPacket} from '../../standins/cookie-packets.js';
import {RetainedPackets} from './retained-packets.js';

const HEADER_BYTES = 32;

function packetOf(dataLength: number, acknowledged = 1) {
  const bytes = new Uint8Array(HEADER_BYTES + dataLength);
  return createPacket({dataLength, acknowledged, bytes});
}

test('the newest packet is retained unless it only adds data to the retained one', () => {
  const packets = RetainedPackets.create();
  const [opening, request] = [packetOf(0), packetOf(900)];
  const [answered, next] = [packetOf(0, 700), packetOf(900, 800)];
  assert.equal(packets.select(undefined, request), request);
  assert.equal(packets.select(request, opening), opening);
  assert.equal(packets.select(opening, request), opening);
  assert.equal(packets.select(opening, answered), answered);
  assert.equal(packets.select(answered, next), next);
});

test('a packet that closes or resets its flow is never retained', () => {
  const packets = RetainedPackets.create();
  const retained = packetOf(0);
  const ends = [{closes: true}, {resets: true}];
  ends.forEach(part =>
    assert.equal(
      packets.select(retained, {...packetOf(0, 9), ...part}),
      retained,
    ),
  );
});

test('60,000 flows with large packets retain no more bytes than the limit', () => {
  const packets = RetainedPackets.create();
  const retained = Array.from({length: 60_000}, () =>
    packets.select(undefined, packetOf(1_200)),
  ).flatMap(packet => packet ?? []);
  const bytes = retained.reduce((sum, packet) => sum + packet.bytes.length, 0);
  assert.ok(bytes > 4_000_000 && bytes <= 4 * 1_024 * 1_024, `${bytes}`);
  packets.release(retained[0]);
  const later = packetOf(1_200);
  assert.equal(packets.select(undefined, later), later);
});
