import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createPacket} from '../../standins/cookie-packets.js';
import {RetainedPackets} from './retained-packets.js';

const HEAD_BYTES = 32;

function packetOf(dataLength: number, acknowledged = 1) {
  const bytes = new Uint8Array(HEAD_BYTES + dataLength);
  return createPacket({dataLength, acknowledged, bytes});
}

test('the newest packet is kept, but not data in place of one that says the same', () => {
  const packets = RetainedPackets.create();
  const [opening, request] = [packetOf(0), packetOf(900)];
  const [answered, next] = [packetOf(0, 700), packetOf(900, 800)];
  assert.equal(packets.select(undefined, request), request);
  assert.equal(packets.select(request, opening), opening);
  assert.equal(packets.select(opening, request), opening);
  assert.equal(packets.select(opening, answered), answered);
  assert.equal(packets.select(answered, next), next);
});

test('a packet that closes or gives up its flow is never kept', () => {
  const packets = RetainedPackets.create();
  const kept = packetOf(0);
  const ends = [{closes: true}, {resets: true}];
  ends.forEach(part =>
    assert.equal(packets.select(kept, {...packetOf(0, 9), ...part}), kept),
  );
});

test('60,000 flows whose only packet is a long one keep no more than the bound', () => {
  const packets = RetainedPackets.create();
  const kept = Array.from({length: 60_000}, () =>
    packets.select(undefined, packetOf(1_200)),
  ).flatMap(packet => packet ?? []);
  const bytes = kept.reduce((sum, packet) => sum + packet.bytes.length, 0);
  assert.ok(bytes > 4_000_000 && bytes <= 4 * 1_024 * 1_024, `${bytes}`);
  packets.release(kept[0]);
  const later = packetOf(1_200);
  assert.equal(packets.select(undefined, later), later);
});
