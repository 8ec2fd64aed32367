/** Schema of templates, which hold parameters shared by several services. */
import {z} from 'zod';
import {
  duration,
  flag,
  fraction,
  name,
  backendServer,
  text,
  wholeNumber,
} from './values.js';

const MAX_CONNECTIONS = 1_000_000;
const MAX_SLOTS = 10_000;
const MAX_QUEUE_LENGTH = 100_000;

/** The INI schema of a template; docs/SETTINGS.md explains each key. */
export const templateSchema = z.strictObject({
  template: z.strictObject(
    {
      name: name(),
      description: text('a sentence').optional(),
    },
    {error: 'add a section [template] with a name'},
  ),
  server: z
    .strictObject({
      slots: wholeNumber(1, MAX_SLOTS).prefault('1'),
      connections: wholeNumber(1, MAX_CONNECTIONS).prefault('2000'),
      'warm-up': duration().prefault('30s'),
      // Used by services that list no servers.
      servers: z
        .array(backendServer(), {
          error: 'write one line "servers[] = ip:port" per server',
        })
        .default([]),
    })
    .prefault({}),
  flows: z
    .strictObject({
      'flexible-share': fraction(0, 1).prefault('0.25'),
      'idle-limit': duration().prefault('2h'),
      lifetime: duration().prefault('12h'),
    })
    .prefault({}),
  requests: z
    .strictObject({
      repeatable: flag().default(false),
      deadline: duration().prefault('10s'),
      queue: wholeNumber(0, MAX_QUEUE_LENGTH).prefault('200'),
    })
    .prefault({}),
});

/** A parsed template. */
export type Template = z.output<typeof templateSchema>;
