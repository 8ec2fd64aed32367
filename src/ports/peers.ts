/** Port to the other daemons of a fleet that replicates flow state. */
import type {ResultAsync} from 'neverthrow';
import type {Hint, PassedPacket, Probe} from '../generated/packet.js';
import type {CallerReply, CallerRequest} from '../generated/request.js';
import type {
  ChangeList,
  FlowException,
  KeyRecord,
  MemberList,
} from '../generated/peer.js';

/** A call to a peer failed; it may or may not have taken effect. */
export class PeerUnavailable extends Error {
  readonly type = 'PeerUnavailable';

  private constructor(
    message: string,
    /** False if the call certainly did not reach the peer. */
    readonly mayHaveRun: boolean,
  ) {
    super(message);
  }

  /** Creates the failure of a call to one peer. */
  static create(
    peer: string,
    cause: string,
    mayHaveRun = true,
  ): PeerUnavailable {
    return new PeerUnavailable(`peer ${peer}: ${cause}`, mayHaveRun);
  }
}

/** Handlers of messages and calls from peers. */
export interface PeerHandlers {
  onPassed(sender: string, passed: PassedPacket): void;
  onHint(sender: string, hint: Hint): void;
  onProbe(sender: string, probe: Probe, replyAddress: string): void;
  /**
   * Stores exceptions from a peer, or forwards them if `target` is not empty; returns the
   * number accepted.
   */
  onExceptions(
    sender: string,
    exceptions: readonly FlowException[],
    target: string,
  ): number;
  /** Returns the exceptions held for the partitions, in batches. */
  onPullState(
    sender: string,
    partitions: readonly number[],
  ): Iterable<FlowException[]>;
  onPullChanges(sender: string, epoch: number, after: number): ChangeList;
  onPullMembers(): MemberList;
  /** Handles a request whose key this daemon owns, according to the sender. */
  onForward(request: CallerRequest): Promise<CallerReply>;
  onKeepKeys(range: number, records: readonly KeyRecord[]): number;
  onPullKeys(range: number): KeyRecord[];
}

/** Messages and calls to peers, which are identified by "ip:port". */
export abstract class Peers {
  /** Installs the handlers and starts to receive. */
  abstract serve(handlers: PeerHandlers): Promise<void>;
  abstract pass(address: string, passed: PassedPacket): void;
  abstract hint(address: string, hint: Hint): void;
  abstract probe(address: string, probe: Probe): void;
  /**
   * Sends exceptions to a peer, which forwards them to the member `target` if given.
   * Returns the number accepted.
   */
  abstract pushExceptions(
    address: string,
    exceptions: FlowException[],
    deadline: number,
    target?: string,
  ): ResultAsync<number, PeerUnavailable>;
  /** Fetches the exceptions that a peer holds for the partitions. */
  abstract pullState(
    address: string,
    partitions: number[],
    deadline: number,
  ): ResultAsync<FlowException[], PeerUnavailable>;
  abstract pullChanges(
    address: string,
    epoch: number,
    after: number,
    deadline: number,
  ): ResultAsync<ChangeList, PeerUnavailable>;
  abstract pullMembers(
    address: string,
    deadline: number,
  ): ResultAsync<MemberList, PeerUnavailable>;
  /** Forwards a request to the owner of its key. */
  abstract forward(
    address: string,
    request: CallerRequest,
    deadline: number,
  ): ResultAsync<CallerReply, PeerUnavailable>;
  /** Replicates the records of idempotency keys to a peer; returns the number accepted. */
  abstract keepKeys(
    address: string,
    range: number,
    records: KeyRecord[],
    deadline: number,
  ): ResultAsync<number, PeerUnavailable>;
  /** Fetches a peer's records of the keys in a range. */
  abstract pullKeys(
    address: string,
    range: number,
    deadline: number,
  ): ResultAsync<KeyRecord[], PeerUnavailable>;
  /** Stops receiving and closes all connections. */
  abstract close(): Promise<void>;
}
