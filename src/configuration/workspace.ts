/** Schema of workspaces, which hold the services of one customer. */
import {z} from 'zod';
import {
  duration,
  fraction,
  name,
  backendServer,
  socketAddress,
  wholeNumber,
} from './values.js';

const MAX_REQUESTS_IN_FLIGHT = 1_000_000;

/** The INI schema of a workspace; docs/SETTINGS.md explains each key. */
export const workspaceSchema = z.strictObject({
  workspace: z.strictObject(
    {
      name: name(),
      'requests-in-flight': wholeNumber(1, MAX_REQUESTS_IN_FLIGHT).prefault(
        '1000',
      ),
    },
    {error: 'add a section [workspace] with a name'},
  ),
  service: z.record(
    name(),
    z.strictObject({
      template: name(),
      address: socketAddress(),
      servers: z
        .array(backendServer(), {
          error: 'write one line "servers[] = ip:port" per server',
        })
        .default([]),
      'flexible-share': fraction(0, 1).optional(),
      deadline: duration().optional(),
    }),
    {error: 'add a section [service.NAME] for each service'},
  ),
});

/** A parsed workspace. */
export type Workspace = z.output<typeof workspaceSchema>;
