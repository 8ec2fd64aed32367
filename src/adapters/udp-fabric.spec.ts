import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Packet, PacketKind, PeerDatagram} from '../generated/packet.js';
import {DatagramAuthenticator} from './datagram-authenticator.js';
import {decodePacket} from './udp-fabric.js';

const PACKET: Packet = {
  sourceAddress: 0x0a000001,
  sourcePort: 4_000,
  destinationAddress: 0x0a140001,
  destinationPort: 443,
  kind: PacketKind.DATA,
  sequence: 9,
  payload: Buffer.from('parkwise/meterpay'),
  returnAddress: '127.0.0.1:5000',
};

test('a packet header is decoded as it was encoded', () => {
  const read = decodePacket(Packet.encode(PACKET).finish());
  assert.deepEqual(read, {
    sourceAddress: PACKET.sourceAddress,
    sourcePort: PACKET.sourcePort,
    destinationAddress: PACKET.destinationAddress,
    destinationPort: PACKET.destinationPort,
    kind: PACKET.kind,
  });
});

test('arbitrary bytes never make decoding throw, and ports stay in range', () => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 64}), bytes => {
      const read = decodePacket(bytes);
      assert.ok(
        read === undefined ||
          (read.destinationPort > 0 && read.destinationPort <= 65_535),
      );
    }),
    {seed: 5, numRuns: 2_000},
  );
});

test('truncated and altered packets never make decoding throw', () => {
  const encoded = Packet.encode(PACKET).finish();
  fc.assert(
    fc.property(
      fc.nat(encoded.length - 1),
      fc.integer({min: 0, max: 255}),
      (position, value) => {
        const altered = Uint8Array.from(encoded);
        altered[position] = value;
        decodePacket(altered);
        const truncated = decodePacket(encoded.subarray(0, position));
        assert.ok(truncated === undefined || truncated.destinationPort > 0);
      },
    ),
    {seed: 6, numRuns: 1_000},
  );
});

test('a datagram with a wrong authentication code is refused', () => {
  const own = DatagramAuthenticator.create('a shared key');
  const bytes = Buffer.from(
    PeerDatagram.encode(PeerDatagram.fromPartial({sender: 'a'})).finish(),
  );
  const sealed = Buffer.from(own.sign(bytes));
  assert.deepEqual(own.verify(sealed), bytes);
  assert.equal(
    DatagramAuthenticator.create('another').verify(sealed),
    undefined,
  );
  sealed[sealed.length - 1] ^= 1;
  assert.equal(own.verify(sealed), undefined);
  assert.equal(own.verify(Buffer.alloc(3)), undefined);
});
