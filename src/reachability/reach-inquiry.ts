/**
 * One question put to several daemons: whether a backend server's host answers. Who
 * asks tries too. The server counts as unreachable only if all that answered tried in
 * vain, at least one of them besides the daemon that asks.
 */
import {ContactResult} from '../ports/server-contact.js';

/** Votes on one server. */
export class ReachInquiry {
  private readonly votes = new Map<number, ContactResult>();
  private settle: () => void = () => undefined;
  /** Resolves once nothing that may still come changes the outcome. */
  readonly settled: Promise<void>;

  private constructor(
    private readonly self: number,
    private readonly helpers: ReadonlySet<number>,
  ) {
    this.settled = new Promise(resolve => {
      this.settle = resolve;
    });
  }

  /** Creates an inquiry of the daemon `self` that asks `helpers`, by address. */
  static create(self: number, helpers: readonly number[]): ReachInquiry {
    return new ReachInquiry(self, new Set(helpers));
  }

  /** Takes the vote of a daemon; votes of daemons that were not asked do not count. */
  vote(daemon: number, result: ContactResult): void {
    if (daemon !== this.self && !this.helpers.has(daemon)) {
      return;
    }
    this.votes.set(daemon, result);
    if (this.wasReached || this.votes.size === this.helpers.size + 1) {
      this.settle();
    }
  }

  /** Whether several daemons tried in vain and nobody reached the server. */
  get isUnreachable(): boolean {
    return !this.wasReached && this.votes.has(this.self) && this.votes.size > 1;
  }

  /** Votes so far. */
  get voteCount(): number {
    return this.votes.size;
  }

  private get wasReached(): boolean {
    return [...this.votes.values()].includes(ContactResult.REACHED);
  }
}
