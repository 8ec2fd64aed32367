/**
 * A poll of several daemons on whether they can reach a backend server's host. The server
 * is unreachable if all votes say so, at least one of them from another daemon.
 */
import {ProbeResult} from '../ports/server-prober.js';

/** The votes on one server. */
export class ReachabilityPoll {
  private readonly votes = new Map<number, ProbeResult>();
  private settle: () => void = () => undefined;
  /** Resolves when the server was reached by any daemon, or all have voted. */
  readonly settled: Promise<void>;

  private constructor(
    private readonly self: number,
    private readonly helpers: ReadonlySet<number>,
  ) {
    this.settled = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  /** Creates a poll by daemon `self` among `helpers`, all by address. */
  static create(self: number, helpers: readonly number[]): ReachabilityPoll {
    return new ReachabilityPoll(self, new Set(helpers));
  }

  /** Records a vote; those of daemons that aren't part of the poll are ignored. */
  recordVote(daemon: number, result: ProbeResult): void {
    if (daemon !== this.self && !this.helpers.has(daemon)) {
      return;
    }
    this.votes.set(daemon, result);
    if (this.wasReached || this.votes.size === this.helpers.size + 1) {
      this.settle();
    }
  }

  /** Whether this daemon and at least one helper failed, and none reached the server. */
  get isUnreachable(): boolean {
    return !this.wasReached && this.votes.has(this.self) && this.votes.size > 1;
  }

  get voteCount(): number {
    return this.votes.size;
  }

  private get wasReached(): boolean {
    return [...this.votes.values()].includes(ProbeResult.REACHED);
  }
}
