/** Schema of a daemon's settings: addresses, failure domain, limits. */
import {z} from 'zod';
import {
  fraction,
  name,
  oneOf,
  socketAddress,
  text,
  wholeNumber,
} from './values.js';

const MAX_ENTRIES = 50_000_000;
const STREAM_MESSAGE =
  'write "listen-ip:port>service-ip:port", such as "127.0.0.1:7001>10.20.0.1:443"';

/** Parses "listen-ip:port>service-ip:port". */
const streamSetting = z
  .string({error: STREAM_MESSAGE})
  .transform((line, context) => {
    const parts = line.split('>').map(part => part.trim());
    const valid =
      parts.length === 2 &&
      parts.every(part => socketAddress().safeParse(part).success);
    if (!valid) {
      context.addIssue({code: 'custom', input: line, message: STREAM_MESSAGE});
      return z.NEVER;
    }
    return {listen: parts[0], address: parts[1]};
  });

/** The INI schema of a daemon's settings; docs/SETTINGS.md explains each key. */
export const processSettingsSchema = z.strictObject({
  daemon: z.strictObject(
    {
      id: name(),
      'failure-domain': name(),
      region: name().prefault('default'),
    },
    {error: 'add a section [daemon] with an id and a failure-domain'},
  ),
  listen: z.strictObject(
    {
      fabric: socketAddress(),
      peers: socketAddress(),
      requests: socketAddress(),
      control: socketAddress(),
      streams: z.array(streamSetting, {error: STREAM_MESSAGE}).default([]),
    },
    {error: 'add a section [listen] with fabric, peers, requests and control'},
  ),
  platform: z.strictObject(
    {store: socketAddress(), 'instance-list': socketAddress()},
    {error: 'add a section [platform] with store and instance-list'},
  ),
  routing: z
    .strictObject({
      policy: oneOf(['weldyard', 'naive', 'all-flows']).prefault('weldyard'),
      'maximum-entries': wholeNumber(1_000, MAX_ENTRIES).prefault('1000000'),
    })
    .prefault({}),
  requests: z
    .strictObject({
      policy: oneOf(['weldyard', 'naive']).prefault('weldyard'),
      'retry-share': fraction(0, 1).prefault('0.05'),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: oneOf(['error', 'warn', 'info', 'debug']).prefault('info'),
    })
    .prefault({}),
  metrics: z.strictObject({statsd: socketAddress().optional()}).prefault({}),
  security: z
    .strictObject({
      certificate: text('the path of a PEM file').optional(),
      'private-key': text('the path of a PEM file').optional(),
      authority: text('the path of a PEM file').optional(),
      'datagram-key': text('a secret that all daemons share').optional(),
    })
    .prefault({}),
});

/** The settings of a daemon. */
export type ProcessSettings = z.output<typeof processSettingsSchema>;
