/** Services in force and the dispatcher of each pool of servers. */
import {Dispatcher} from '../admission/dispatcher.js';
import type {Service} from '../configuration/services.js';
import type {BackendServers} from '../ports/backend-servers.js';
import type {Clock} from '../ports/clock.js';
import type {Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import type {ServerMarks} from '../routing/server-marks.js';

/** What pools are made from. */
export interface PoolsOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly backends: BackendServers;
  /** Repeats as a share of first tries. */
  readonly retryShare: number;
}

/** The services of the newest revision and their dispatchers. */
export class Pools {
  private readonly dispatchers = new Map<string, Dispatcher>();
  private services: readonly Service[] = [];
  private byName = new Map<string, Service>();

  private constructor(private readonly options: PoolsOptions) {}

  /** Creates pools without services. */
  static create(options: PoolsOptions): Pools {
    return new Pools(options);
  }

  /** All services. */
  get all(): readonly Service[] {
    return this.services;
  }

  /** Requests waiting or at servers. */
  get inFlight(): number {
    return [...this.dispatchers.values()].reduce(
      (sum, dispatcher) => sum + dispatcher.inFlight,
      0,
    );
  }

  /** Takes the services of a revision. */
  useServices(services: readonly Service[]): void {
    this.services = services;
    this.byName = new Map(
      services.map(service => [
        `${service.workspace}/${service.name}`,
        service,
      ]),
    );
  }

  /** Takes the state of servers and the daemons that share their slots. */
  useServers(marks: ServerMarks, daemons: readonly string[]): void {
    const pools = new Map(
      this.services.map(service => [service.pool, service]),
    );
    pools.forEach(service => {
      const servers = service.servers
        .filter(({id}) => marks.isEligible(id))
        .map(({id}) => ({id, slots: service.slots}));
      this.dispatcherOf(service).useServers(servers, daemons);
    });
  }

  /** A service by the names that callers use. */
  find(workspace: string, service: string): Service | undefined {
    return this.byName.get(`${workspace}/${service}`);
  }

  /** The service at an address ("ip:port"). */
  findByAddress(address: string): Service | undefined {
    return this.services.find(service => service.address === address);
  }

  /** The dispatcher of a service's pool. */
  dispatcherOf(service: Service): Dispatcher {
    const known = this.dispatchers.get(service.pool);
    if (known !== undefined) {
      return known;
    }
    const created = Dispatcher.create({
      ...this.options,
      queueBound: service.queue,
    });
    this.dispatchers.set(service.pool, created);
    return created;
  }
}
