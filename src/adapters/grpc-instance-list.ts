/** Client of the platform's instance list over gRPC. */
import {credentials} from '@grpc/grpc-js';
import type {ResultAsync} from 'neverthrow';
import {
  InstancesClient,
  type Instance,
  type ListReply,
} from '../generated/platform.js';
import type {Clock} from '../ports/clock.js';
import {
  InstanceList,
  InstanceListUnavailable,
  InstanceRole,
  InstanceState,
  type InstanceListing,
  type ListedInstance,
} from '../ports/instance-list.js';
import {CHANNEL_OPTIONS, callUnary, type Invocation} from './grpc-call.js';

const CALL_TIMEOUT_MS = 2_000;

export class GrpcInstanceList extends InstanceList {
  private readonly client: InstancesClient;

  private constructor(
    address: string,
    private readonly clock: Clock,
  ) {
    super();
    this.client = new InstancesClient(
      address,
      credentials.createInsecure(),
      CHANNEL_OPTIONS,
    );
  }

  /** Creates a client; `address` is "ip:port". */
  static create(address: string, clock: Clock): GrpcInstanceList {
    return new GrpcInstanceList(address, clock);
  }

  list(): ResultAsync<InstanceListing, InstanceListUnavailable> {
    return this.call((...rest) => this.client.list({afterVersion: 0}, ...rest));
  }

  announce(
    instance: ListedInstance,
  ): ResultAsync<InstanceListing, InstanceListUnavailable> {
    return this.call((...rest) => this.client.announce(instance, ...rest));
  }

  /** Closes the connection. */
  close(): void {
    this.client.close();
  }

  private call(
    invoke: Invocation<ListReply>,
  ): ResultAsync<InstanceListing, InstanceListUnavailable> {
    return callUnary(this.clock, this.clock.now() + CALL_TIMEOUT_MS, invoke)
      .map(reply => ({
        version: reply.version,
        instances: reply.instances.flatMap(toListedInstance),
      }))
      .mapErr(error => InstanceListUnavailable.create(error.details));
  }
}

/** Converts an entry; returns none when its role or state is unknown. */
function toListedInstance(instance: Instance): ListedInstance[] {
  const role = Object.values(InstanceRole).find(
    known => known === instance.role,
  );
  const state = Object.values(InstanceState).find(
    known => known === instance.state,
  );
  return role === undefined || state === undefined
    ? []
    : [{...instance, role, state}];
}
