/** The control call that every stand-in answers: sets faults, reports counts. */
import {
  Server,
  ServerCredentials,
  credentials,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import {
  CHANNEL_OPTIONS,
  bindServer,
  callUnary,
} from '../src/adapters/grpc-call.js';
import {SystemClock} from '../src/adapters/system-clock.js';
import {
  KnobsClient,
  KnobsService,
  type KnobReport,
  type KnobsServer,
} from '../src/generated/platform.js';

const CALL_MS = 20_000;

/** Applies settings and returns a report, both as plain data. */
export type KnobHandler = (settings: Record<string, unknown>) => unknown;

/** A gRPC service that shares the stand-in's server. */
export interface StandinService {
  readonly definition: ServiceDefinition;
  readonly implementation: UntypedServiceImplementation;
}

/** Starts a server with the knobs and further services. */
export async function startStandinServer(
  address: string,
  handler: KnobHandler,
  services: readonly StandinService[] = [],
): Promise<Server> {
  const knobs: KnobsServer = {
    turn: (call, callback) => {
      const settings = JSON.parse(call.request.json || '{}') as Record<
        string,
        unknown
      >;
      callback(null, {json: JSON.stringify(handler(settings) ?? {})});
    },
  };
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(KnobsService, knobs);
  services.forEach(({definition, implementation}) =>
    server.addService(definition, implementation),
  );
  await bindServer(server, address, ServerCredentials.createInsecure());
  return server;
}

/** Turns knobs of a stand-in from another process. */
export class Knobs {
  private readonly client: KnobsClient;
  private readonly clock = SystemClock.create();

  private constructor(address: string) {
    this.client = new KnobsClient(address, credentials.createInsecure(), {
      ...CHANNEL_OPTIONS,
      'grpc.max_receive_message_length': 64 * 1_024 * 1_024,
    });
  }

  /** Creates a client of the stand-in at "ip:port". */
  static create(address: string): Knobs {
    return new Knobs(address);
  }

  /** Applies settings and returns the stand-in's report. */
  async turn<T>(settings: Record<string, unknown> = {}): Promise<T> {
    const deadline = this.clock.now() + CALL_MS;
    const result = await callUnary<KnobReport>(
      this.clock,
      deadline,
      (...rest) => this.client.turn({json: JSON.stringify(settings)}, ...rest),
    );
    if (result.isErr()) {
      throw result.error;
    }
    return JSON.parse(result.value.json) as T;
  }

  /** Closes the connection. */
  close(): void {
    this.client.close();
  }
}

/** Copies the settings that a record of knobs knows. */
export function turnKnobs<T extends object>(
  knobs: T,
  settings: Record<string, unknown>,
): void {
  Object.entries(settings)
    .filter(([name]) => name in knobs)
    .forEach(([name, value]) => Object.assign(knobs, {[name]: value}));
}
