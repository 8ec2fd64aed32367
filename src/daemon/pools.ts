/** The current services, and one dispatcher for each pool of servers. */
import {Dispatcher} from '../admission/dispatcher.js';
import type {Service} from '../configuration/services.js';
import type {BackendServers} from '../ports/backend-servers.js';
import type {Clock} from '../ports/clock.js';
import type {Counters} from '../ports/counters.js';
import type {Hasher} from '../ports/hasher.js';
import type {ServerMarks} from '../routing/server-marks.js';

export interface PoolsOptions {
  readonly self: string;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly counters: Counters;
  readonly backends: BackendServers;
  /** Maximum ratio of retries to first attempts. */
  readonly retryShare: number;
}

/** Tracks the services of the newest revision and their dispatchers. */
export class Pools {
  private readonly dispatchers = new Map<string, Dispatcher>();
  private services: readonly Service[] = [];
  private byName = new Map<string, Service>();

  private constructor(private readonly options: PoolsOptions) {}

  /** Creates pools without services. */
  static create(options: PoolsOptions): Pools {
    return new Pools(options);
  }

  get all(): readonly Service[] {
    return this.services;
  }

  /** Requests that are queued or being processed by servers. */
  get inFlight(): number {
    return [...this.dispatchers.values()].reduce(
      (sum, dispatcher) => sum + dispatcher.inFlight,
      0,
    );
  }

  /** Replaces the services by those of a new revision. */
  setServices(services: readonly Service[]): void {
    this.services = services;
    this.byName = new Map(
      services.map(service => [
        `${service.workspace}/${service.name}`,
        service,
      ]),
    );
  }

  /** Updates the eligible servers, and the daemons that share their slots. */
  updateServers(marks: ServerMarks, daemons: readonly string[]): void {
    const pools = new Map(
      this.services.map(service => [service.pool, service]),
    );
    pools.forEach(service => {
      const servers = service.servers
        .filter(({id}) => marks.isEligible(id))
        .map(({id}) => ({id, slots: service.slots}));
      this.getDispatcher(service).useServers(servers, daemons);
    });
  }

  /** Returns the service with a workspace and name; undefined when there is none. */
  findService(workspace: string, service: string): Service | undefined {
    return this.byName.get(`${workspace}/${service}`);
  }

  /** Returns the service at "ip:port"; undefined when there is none. */
  findServiceByAddress(address: string): Service | undefined {
    return this.services.find(service => service.address === address);
  }

  /** Returns the dispatcher of a service's pool, created on first use. */
  getDispatcher(service: Service): Dispatcher {
    const known = this.dispatchers.get(service.pool);
    if (known !== undefined) {
      return known;
    }
    const created = Dispatcher.create({
      ...this.options,
      queueCapacity: service.queue,
    });
    this.dispatchers.set(service.pool, created);
    return created;
  }
}
