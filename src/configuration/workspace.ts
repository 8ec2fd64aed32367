/** Workspaces: the services of one customer and their parameters. */
import {z} from 'zod';
import {
  duration,
  fraction,
  name,
  serverLine,
  socketAddress,
  wholeNumber,
} from './values.js';

const HIGHEST_REQUESTS = 1_000_000;
/** The INI schema of a workspace; docs/SETTINGS.md explains each key. */
export const workspaceSchema = z.strictObject({
  workspace: z.strictObject(
    {
      name: name(),
      'requests-in-flight': wholeNumber(1, HIGHEST_REQUESTS).prefault('1000'),
    },
    {error: 'add a section [workspace] with a name'},
  ),
  service: z.record(
    name(),
    z.strictObject({
      template: name(),
      address: socketAddress(),
      servers: z
        .array(serverLine(), {
          error: 'write one line "servers[] = ip:port" a server',
        })
        .default([]),
      'flexible-share': fraction(0, 1).optional(),
      deadline: duration().optional(),
    }),
    {error: 'add a section [service.NAME] a service'},
  ),
});

/** A workspace as read. */
export type Workspace = z.output<typeof workspaceSchema>;
