/** Control service of the stand-ins, which sets their faults and reports their counts. */
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

const CALL_TIMEOUT_MS = 20_000;

/** Applies settings and returns a report; both are JSON values. */
export type ControlHandler = (settings: Record<string, unknown>) => unknown;

/** A gRPC service on the same server as the control service. */
export interface ControlledService {
  readonly definition: ServiceDefinition;
  readonly implementation: UntypedServiceImplementation;
}

/** Starts a gRPC server at "ip:port" with the control service and further services. */
export async function startStandinServer(
  address: string,
  handler: ControlHandler,
  services: readonly ControlledService[] = [],
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

/** Client of a stand-in's control service. */
export class StandinControl {
  private readonly client: KnobsClient;
  private readonly clock = SystemClock.create();

  private constructor(address: string) {
    this.client = new KnobsClient(address, credentials.createInsecure(), {
      ...CHANNEL_OPTIONS,
      'grpc.max_receive_message_length': 64 * 1_024 * 1_024,
    });
  }

  /** Creates a client of the stand-in at "ip:port". */
  static create(address: string): StandinControl {
    return new StandinControl(address);
  }

  /** Applies settings and returns the stand-in's report; throws if the call fails. */
  async configure<T>(settings: Record<string, unknown> = {}): Promise<T> {
    const deadline = this.clock.now() + CALL_TIMEOUT_MS;
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

/** Copies the settings that `knobs` declares into it and ignores others. */
export function applyKnobs<T extends object>(
  knobs: T,
  settings: Record<string, unknown>,
): void {
  Object.entries(settings)
    .filter(([name]) => name in knobs)
    .forEach(([name, value]) => Object.assign(knobs, {[name]: value}));
}
