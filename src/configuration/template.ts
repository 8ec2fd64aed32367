/** Templates: what all services of one kind have in common. */
import {z} from 'zod';
import {
  duration,
  flag,
  fraction,
  name,
  serverLine,
  text,
  wholeNumber,
} from './values.js';

const HIGHEST_CONNECTIONS = 1_000_000;
const HIGHEST_SLOTS = 10_000;
const HIGHEST_QUEUE = 100_000;

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
      slots: wholeNumber(1, HIGHEST_SLOTS).prefault('1'),
      connections: wholeNumber(1, HIGHEST_CONNECTIONS).prefault('2000'),
      'warm-up': duration().prefault('30s'),
      // Shared by all workspaces that name no servers of their own.
      servers: z
        .array(serverLine(), {
          error: 'write one line "servers[] = ip:port" a server',
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
      queue: wholeNumber(0, HIGHEST_QUEUE).prefault('200'),
    })
    .prefault({}),
});

/** A template as read. */
export type Template = z.output<typeof templateSchema>;
