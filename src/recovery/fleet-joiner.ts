/** Joins the fleet: pulls members, changes and flow entries from peers. */
import type {Change} from '../generated/peer.js';
import type {ChangeLog} from '../membership/change-log.js';
import type {FailureDetector} from '../membership/failure-detector.js';
import type {MemberList} from '../membership/member-list.js';
import {
  MemberState,
  memberFromUpdate,
  type Member,
} from '../membership/member.js';
import type {Clock} from '../ports/clock.js';
import type {Hasher} from '../ports/hasher.js';
import type {Peers} from '../ports/peers.js';
import {EventKind, type Timeline} from '../ports/timeline.js';
import {Ownership} from '../routing/ownership.js';
import type {Router} from '../routing/router.js';

const PULL_TIMEOUT_MS = 3_000;
/** Longest wait for answers of all owners before joining without them. */
const OWNER_RESPONSE_TIMEOUT_MS = 2_000;
const POLL_INTERVAL_MS = 50;
/** Peers that a joining daemon pulls the members from. */
const BOOTSTRAP_PEERS = 5;

export interface FleetJoinerOptions {
  readonly members: MemberList;
  readonly log: ChangeLog;
  readonly detector: FailureDetector;
  readonly router: Router;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly hasher: Hasher;
  readonly timeline: Timeline;
  /** Applies changes pulled from a peer. */
  applyChanges(changes: readonly Omit<Change, 'index'>[]): void;
}

/** Pulls state from peers, when a daemon joins and later. */
export class FleetJoiner {
  private readonly pulling = new Set<string>();
  private rejoining = false;

  private constructor(private readonly options: FleetJoinerOptions) {}

  /** Creates a joiner; nothing is pulled yet. */
  static create(options: FleetJoinerOptions): FleetJoiner {
    return new FleetJoiner(options);
  }

  /** Pulls the changes of a peer's log that are not staged here. */
  async pullChanges(peer: Member, epoch: number): Promise<void> {
    if (this.pulling.has(peer.id)) {
      return;
    }
    this.pulling.add(peer.id);
    const {clock, peers} = this.options;
    const seen = this.options.log.stagedPosition(peer.id);
    const after = seen.epoch === epoch ? seen.top : 0;
    const pulled = await peers.pullChanges(
      peer.address,
      epoch,
      after,
      clock.now() + PULL_TIMEOUT_MS,
    );
    this.pulling.delete(peer.id);
    pulled.map(list => {
      this.options.applyChanges(list.changes);
      this.options.log.recordStaged(peer.id, list.epoch, list.top);
      this.options.detector.probeNow(peer.id);
      return list;
    });
  }

  /** Pulls the members from an unknown sender, itself among them. */
  async identifySender(id: string, address: string): Promise<void> {
    if (this.pulling.has(id)) {
      return;
    }
    this.pulling.add(id);
    await this.pullMembersFrom(address);
    this.pulling.delete(id);
  }

  /**
   * Pulls members from a few peers; from all others if none of them answers.
   */
  async pullMembersFromSome(addresses: readonly string[]): Promise<void> {
    const {hasher, members} = this.options;
    const seed = hasher.hashText(members.self.id, 0);
    const rank = (address: string) => hasher.hashText(address, seed);
    const ranked = [...addresses].sort((a, b) => rank(a) - rank(b));
    const selected = ranked.slice(0, BOOTSTRAP_PEERS);
    const answered = await Promise.all(
      selected.map(address => this.pullMembersFrom(address)),
    );
    if (!answered.includes(true)) {
      const rest = ranked.slice(BOOTSTRAP_PEERS);
      await Promise.all(rest.map(address => this.pullMembersFrom(address)));
    }
  }

  /** Pulls members and flow counts from a peer; false if the call failed. */
  async pullMembersFrom(address: string): Promise<boolean> {
    const {clock, peers} = this.options;
    const reply = await peers.pullMembers(
      address,
      clock.now() + PULL_TIMEOUT_MS,
    );
    reply.map(message => {
      message.members.forEach(update =>
        this.options.members.mergeMember(memberFromUpdate(update)),
      );
      message.loads.forEach(load =>
        this.options.router.flowCounts.receive(load),
      );
      return message;
    });
    return reply.isOk();
  }

  /** Pulls the entries of the partitions that this daemon will hold. */
  private async fetchState(): Promise<void> {
    const {clock, hasher, peers, timeline} = this.options;
    const owners = this.options.members.owners();
    const prospective = Ownership.create(
      [...owners, this.options.members.self],
      hasher,
    );
    const partitions = prospective.partitionsHeldBy(
      this.options.members.self.id,
    );
    const pulls = owners
      .filter(({id}) => id !== this.options.members.self.id)
      .map(owner =>
        peers.pullState(
          owner.address,
          partitions,
          clock.now() + PULL_TIMEOUT_MS,
        ),
      );
    const results = await Promise.all(pulls);
    results.forEach(result =>
      result.map(entries => {
        timeline.record(EventKind.STATE_PULLED, {entries: entries.length});
        return this.options.router.applyExceptions(entries);
      }),
    );
  }

  /** Rejoins after other members declared this daemon dead. */
  async rejoin(): Promise<void> {
    if (this.rejoining) {
      return;
    }
    this.rejoining = true;
    await this.becomeReady();
    this.rejoining = false;
  }

  /**
   * Takes ownership of partitions. Packets of unknown flows pass between this
   * daemon and the former owners, so both must be responsive first.
   */
  async becomeReady(): Promise<void> {
    const deadline = this.options.clock.now() + OWNER_RESPONSE_TIMEOUT_MS;
    this.options.detector.announce();
    await this.waitUntil(
      () => this.areOwnersResponsive() || this.options.clock.now() > deadline,
    );
    await this.fetchState();
    if (this.options.members.self.state === MemberState.JOINING) {
      this.options.members.setOwnState(MemberState.READY);
      this.options.detector.announce();
    }
  }

  private areOwnersResponsive(): boolean {
    return this.options.members
      .owners()
      .every(
        ({id}) =>
          id === this.options.members.self.id ||
          this.options.detector.isResponsive(id),
      );
  }

  /** Polls until the condition holds. */
  async waitUntil(holds: () => boolean): Promise<void> {
    while (!holds()) {
      await this.pause(this.options.clock.now() + POLL_INTERVAL_MS);
    }
  }

  private pause(deadline: number): Promise<void> {
    return new Promise(resolve => {
      this.options.clock.callAt(deadline, resolve);
    });
  }
}
