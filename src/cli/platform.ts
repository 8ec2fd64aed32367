/** Access of the command line to the platform and the daemons. */
import {readFileSync} from 'node:fs';
import {credentials} from '@grpc/grpc-js';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {CHANNEL_OPTIONS, callUnary} from '../adapters/grpc-call.js';
import {GrpcInstanceList} from '../adapters/grpc-instance-list.js';
import {GrpcStore} from '../adapters/grpc-store.js';
import {StatsdCounters} from '../adapters/statsd-counters.js';
import {SystemClock} from '../adapters/system-clock.js';
import {Editor} from '../configuration/editor.js';
import {ConfigurationFaults} from '../configuration/faults.js';
import {readIniFile} from '../configuration/ini-file.js';
import {socketAddress} from '../configuration/values.js';
import {
  ControlClient,
  type StatusReply,
  type TimelineReply,
} from '../generated/peer.js';
import {InstanceRole, InstanceState} from '../ports/instance-list.js';

const CALL_TIMEOUT_MS = 2_000;
const MAX_TIMELINE_EVENTS = 10_000;

/** INI schema of the settings file of the command line. */
export const toolSettingsSchema = z.strictObject({
  platform: z.strictObject(
    {store: socketAddress(), 'instance-list': socketAddress()},
    {error: 'add a section [platform] with store and instance-list'},
  ),
});

/** The answer of a daemon in the instance list. */
export interface DaemonAnswer<T> {
  readonly id: string;
  /** Undefined when the daemon did not answer. */
  readonly answer: T | undefined;
}

/** Connections to the platform, for the duration of one command. */
export class Platform {
  readonly clock = SystemClock.create();
  readonly editor: Editor;
  private readonly store: GrpcStore;
  private readonly list: GrpcInstanceList;

  private constructor(storeAddress: string, listAddress: string) {
    const counters = StatsdCounters.create(undefined, 'weldyard');
    this.store = GrpcStore.create(storeAddress, this.clock, counters);
    this.list = GrpcInstanceList.create(listAddress, this.clock);
    this.editor = Editor.create(this.store, this.clock);
  }

  /** Creates connections to the store and the instance list, each at "ip:port". */
  static create(storeAddress: string, listAddress: string): Platform {
    return new Platform(storeAddress, listAddress);
  }

  /** Reads a settings file and connects to the platform that it names. */
  static open(file: string): Result<Platform, ConfigurationFaults> {
    return readSettings(file).map(({platform}) =>
      Platform.create(platform.store, platform['instance-list']),
    );
  }

  /** Requests the status of every live or leaving daemon; none if the list is unavailable. */
  async readStatuses(): Promise<DaemonAnswer<StatusReply>[]> {
    return (await this.readListedStatuses()) ?? [];
  }

  /** Requests the same statuses; undefined if the instance list is unavailable. */
  async readListedStatuses(): Promise<DaemonAnswer<StatusReply>[] | undefined> {
    return this.askAll<StatusReply>((client, ...rest) =>
      client.status({}, ...rest),
    );
  }

  /** Requests the timeline of every live or leaving daemon. */
  async readTimelines(): Promise<DaemonAnswer<TimelineReply>[]> {
    const answers = await this.askAll<TimelineReply>((client, ...rest) =>
      client.timeline({limit: MAX_TIMELINE_EVENTS}, ...rest),
    );
    return answers ?? [];
  }

  /** Closes the connections. */
  close(): void {
    this.store.close();
    this.list.close();
  }

  private async askAll<T>(
    ask: (
      client: ControlClient,
      ...rest: Parameters<Parameters<typeof callUnary<T>>[2]>
    ) => {cancel(): void},
  ): Promise<DaemonAnswer<T>[] | undefined> {
    const listing = await this.list.list();
    if (listing.isErr()) {
      return undefined;
    }
    const daemons = listing.value.instances.filter(
      ({role, state}) =>
        role === InstanceRole.DAEMON && state !== InstanceState.GONE,
    );
    return Promise.all(
      daemons.map(async ({id, controlAddress}) => {
        const client = new ControlClient(
          controlAddress,
          credentials.createInsecure(),
          CHANNEL_OPTIONS,
        );
        const deadline = this.clock.now() + CALL_TIMEOUT_MS;
        const result = await callUnary<T>(this.clock, deadline, (...rest) =>
          ask(client, ...rest),
        );
        client.close();
        return {id, answer: result.unwrapOr(undefined as T | undefined)};
      }),
    );
  }
}

function readSettings(
  file: string,
): Result<z.output<typeof toolSettingsSchema>, ConfigurationFaults> {
  return readText(file).andThen(text =>
    readIniFile({file, text}, toolSettingsSchema),
  );
}

/** Reads a text file. */
export function readText(file: string): Result<string, ConfigurationFaults> {
  try {
    return ok(readFileSync(file, 'utf8'));
  } catch (error) {
    const fault = {
      file,
      section: '',
      key: '',
      wrong: `cannot be read (${String(error)})`,
      right: 'name a readable file',
    };
    return err(ConfigurationFaults.create([fault]));
  }
}
