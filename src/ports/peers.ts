/** The port to the other daemons. */
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
    /** False when the call surely did not reach the peer. */
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

/** What a daemon does with what its peers send. */
export interface PeerHandlers {
  onPassed(sender: string, passed: PassedPacket): void;
  onHint(sender: string, hint: Hint): void;
  onProbe(sender: string, probe: Probe, replyAddress: string): void;
  /**
   * Takes exceptions from a peer, or hands them on when there is a target;
   * returns how many were taken.
   */
  onExceptions(
    sender: string,
    exceptions: readonly FlowException[],
    target: string,
  ): number;
  /** Exceptions that this daemon holds for the partitions, in batches. */
  onPullState(
    sender: string,
    partitions: readonly number[],
  ): Iterable<FlowException[]>;
  onPullChanges(sender: string, epoch: number, after: number): ChangeList;
  onPullMembers(): MemberList;
  /** Handles a request whose key this daemon owns by the sender's view. */
  onForward(request: CallerRequest): Promise<CallerReply>;
  onKeepKeys(range: number, records: readonly KeyRecord[]): number;
  onPullKeys(range: number): KeyRecord[];
}

/** Messages and calls to peers, named by address ("ip:port"). */
export abstract class Peers {
  /** Installs the handlers and starts to receive. */
  abstract serve(handlers: PeerHandlers): Promise<void>;
  abstract pass(address: string, passed: PassedPacket): void;
  abstract hint(address: string, hint: Hint): void;
  abstract probe(address: string, probe: Probe): void;
  /**
   * Hands exceptions to a peer and waits for its confirmation. With a target
   * the peer hands them on to that member.
   */
  abstract pushExceptions(
    address: string,
    exceptions: FlowException[],
    deadline: number,
    target?: string,
  ): ResultAsync<number, PeerUnavailable>;
  /** Fetches a peer's exceptions of the partitions. */
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
  /** Hands a request to the owner of its key. */
  abstract forward(
    address: string,
    request: CallerRequest,
    deadline: number,
  ): ResultAsync<CallerReply, PeerUnavailable>;
  /** Has a peer keep what is known of keys; waits for its confirmation. */
  abstract keepKeys(
    address: string,
    range: number,
    records: KeyRecord[],
    deadline: number,
  ): ResultAsync<number, PeerUnavailable>;
  /** Fetches what a peer knows of the keys of a range. */
  abstract pullKeys(
    address: string,
    range: number,
    deadline: number,
  ): ResultAsync<KeyRecord[], PeerUnavailable>;
  /** Stops receiving and closes all connections. */
  abstract close(): Promise<void>;
}
