/**
 * SWIM-style failure detector: probes peers, suspects and declares them dead,
 * and exchanges membership updates and log positions with them.
 *
 * In a fleet of up to `MESH_LIMIT` members every peer is probed each round; in
 * a larger one a fixed number in rotation, so the cost per daemon does not grow
 * with the fleet.
 */
import type {LoadVector, Probe} from '../generated/packet.js';
import type {Clock, Timer} from '../ports/clock.js';
import type {Peers} from '../ports/peers.js';
import type {ChangeLog} from './change-log.js';
import type {MemberList} from './member-list.js';
import {MembershipUpdater} from './membership-updater.js';
import {
  MemberState,
  answersProbes,
  sessionOf,
  memberFromUpdate,
  type Member,
} from './member.js';
import {PeerContacts, type PeerContact} from './peer-contacts.js';
import {
  LOAD_PUBLISH_INTERVAL_MS,
  MESH_LIMIT,
  MISSES_BEFORE_SUSPICION,
  PROBE_INTERVAL_MS,
  INDIRECT_PROBE_RELAYS,
  SUSPICION_TIMEOUT_MS,
} from './timing.js';

/** Rounds between two probes of a dead member. */
const ROUNDS_BETWEEN_DEAD_PROBES = 4;

/** Callbacks of the failure detector into its owner. */
export interface FailureDetectorHooks {
  /** The peer's log has changes that are not staged here. */
  onUnstagedChanges(peer: Member, epoch: number): void;
  /** The peer's confirmed index may have advanced. */
  onConfirmed(): void;
  /** A probe arrived from a daemon that is not in the member list. */
  onUnknownSender(id: string, address: string): void;
  /** Other members declared this daemon dead; it has to rejoin. */
  onDeclaredDead(): void;
  /** A peer answered for the first time since the start or a pause. */
  onContactRestored(): void;
  /** Returns the flow counts to send to the peers. */
  loadToPublish(): LoadVector;
  onLoad(load: LoadVector): void;
}

export interface FailureDetectorOptions {
  readonly members: MemberList;
  readonly log: ChangeLog;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly hooks: FailureDetectorHooks;
}

/** Detects failed peers of one daemon. */
export class FailureDetector {
  private readonly contacts: PeerContacts;
  private readonly updater: MembershipUpdater;
  private sequence = 0;
  private round = 0;
  private load: LoadVector | undefined;
  private loadDeadline = 0;
  private timer: Timer | undefined;

  private constructor(private readonly options: FailureDetectorOptions) {
    const {members, clock, hooks} = options;
    this.contacts = PeerContacts.create(members.self.id, clock);
    this.updater = MembershipUpdater.create(members, {
      announce: () => this.announce(),
      onDeclaredDead: () => hooks.onDeclaredDead(),
    });
    members.onChange(() =>
      this.contacts.updateTimeouts(this.peersToProbe().length),
    );
  }

  /** Creates a stopped failure detector. */
  static create(options: FailureDetectorOptions): FailureDetector {
    return new FailureDetector(options);
  }

  /** Starts probing; the returned function stops it. */
  start(): () => void {
    this.tick();
    return () => this.timer?.cancel();
  }

  /**
   * Whether every change that the member may place flows by is staged here: it
   * is responsive, and none of its log is missing here.
   */
  isCurrent(id: string): boolean {
    if (!this.isResponsive(id) || id === this.options.members.self.id) {
      return this.isResponsive(id);
    }
    const contact = this.contacts.of(id);
    const {logEpoch, logTop} = contact;
    return !this.options.log.hasUnstagedChanges(id, logEpoch, logTop);
  }

  /**
   * Whether the member answered a probe within the view lease. For this daemon
   * itself: whether any peer did, or there are no peers.
   */
  isResponsive(id: string): boolean {
    return this.contacts.isResponsive(id);
  }

  /**
   * Whether this daemon and the member each had a recent answer of the other.
   */
  isMutual(id: string): boolean {
    return this.isResponsive(id) && this.contacts.of(id).findsSelfResponsive;
  }

  /**
   * Ids of the members that have to confirm a change before it is activated.
   */
  peersToConfirm(): string[] {
    return this.options.members
      .others()
      .filter(member => member.state !== MemberState.LEFT)
      .filter(({id}) => this.contacts.hasRecentDatagram(id))
      .map(({id}) => id);
  }

  /** Probes every peer immediately, to spread a change of state. */
  announce(): void {
    this.peersToProbe().forEach(peer => this.sendProbe(peer, false));
  }

  /** Probes one member immediately, to report what is staged here. */
  probeNow(id: string): void {
    const peer = this.options.members.get(id);
    if (peer !== undefined) {
      this.sendProbe(peer, false);
    }
  }

  /** Probes an address immediately; the member list need not contain it. */
  probeAddress(address: string): void {
    this.options.peers.probe(address, this.message(undefined, 0, false));
  }

  /** Handles a probe, or an answer to one. */
  onProbe(sender: string, probe: Probe, address: string): void {
    this.updater.merge(probe.updates);
    if (probe.subject !== '') {
      this.recordIndirectAnswer(probe.subject);
    } else if (probe.relayTo !== '') {
      this.relay(probe, address);
    } else if (probe.answer && probe.relayFrom !== '') {
      this.relayAnswer(sender, probe);
    } else {
      this.handle(sender, probe, address);
    }
  }

  private handle(sender: string, probe: Probe, address: string): void {
    const known = this.options.members.get(sender);
    if (known === undefined) {
      this.options.hooks.onUnknownSender(sender, address);
      return;
    }
    this.recordSender(known, probe);
    if (probe.answer) {
      this.recordAnswer(sender, probe);
    } else {
      this.answer(known, probe, address);
    }
  }

  private tick(): void {
    const {clock} = this.options;
    this.contacts.recordTick();
    this.timer = clock.callAt(clock.now() + PROBE_INTERVAL_MS, () =>
      this.tick(),
    );
    this.round += 1;
    this.prepareLoad();
    this.expireSuspicions();
    this.probeDeadMember();
    this.selectTargets().forEach(peer => this.probeInRound(peer));
    this.load = undefined;
    this.options.hooks.onConfirmed();
  }

  /**
   * Peers to probe in this round: some in rotation, and those with a probe
   * pending.
   */
  private selectTargets(): Member[] {
    const peers = this.peersToProbe();
    if (peers.length < MESH_LIMIT) {
      return peers;
    }
    const start = (this.round * MESH_LIMIT) % peers.length;
    const scheduled = [...peers, ...peers].slice(start, start + MESH_LIMIT);
    const unanswered = peers
      .filter(({id}) => this.contacts.of(id).pendingSequence !== 0)
      .filter(peer => !scheduled.includes(peer));
    return [...scheduled, ...unanswered];
  }

  private peersToProbe(): Member[] {
    return this.options.members.others().filter(answersProbes);
  }

  /**
   * Probes one dead member every few rounds, so that a partitioned fleet merges
   * again.
   */
  private probeDeadMember(): void {
    const dead = this.options.members
      .others()
      .filter(member => member.state === MemberState.DEAD);
    if (dead.length > 0 && this.round % ROUNDS_BETWEEN_DEAD_PROBES === 0) {
      const position = (this.round / ROUNDS_BETWEEN_DEAD_PROBES) % dead.length;
      this.probeAddress(dead[position].address);
    }
  }

  private prepareLoad(): void {
    const {clock, hooks} = this.options;
    if (clock.now() >= this.loadDeadline) {
      this.loadDeadline = clock.now() + LOAD_PUBLISH_INTERVAL_MS;
      this.load = hooks.loadToPublish();
    }
  }

  private probeInRound(peer: Member): void {
    const contact = this.contacts.of(peer.id);
    if (contact.pendingSequence !== 0) {
      this.recordMiss(peer, contact);
    }
    this.sendProbe(peer, true);
  }

  private recordMiss(peer: Member, contact: PeerContact): void {
    contact.misses += 1;
    this.requestIndirectProbes(peer);
    const isLive =
      peer.state === MemberState.READY || peer.state === MemberState.JOINING;
    if (contact.misses < MISSES_BEFORE_SUSPICION) {
      return;
    }
    if (isLive) {
      this.options.members.mergeMember({...peer, state: MemberState.SUSPECT});
    } else if (peer.state === MemberState.LEAVING) {
      this.options.members.mergeMember({...peer, state: MemberState.DEAD});
    }
  }

  /** Declares members dead whose suspicion timeout has expired. */
  private expireSuspicions(): void {
    const {clock, members} = this.options;
    members
      .others()
      .filter(member => member.state === MemberState.SUSPECT)
      .forEach(member => {
        const contact = this.contacts.of(member.id);
        if (contact.suspicionDeadlineMs === 0) {
          contact.suspicionDeadlineMs = clock.now() + SUSPICION_TIMEOUT_MS;
        } else if (contact.suspicionDeadlineMs <= clock.now()) {
          members.mergeMember({...member, state: MemberState.DEAD});
        }
      });
  }

  private requestIndirectProbes(peer: Member): void {
    const probe = this.message(undefined, this.sequence, false);
    this.peersToProbe()
      .filter(({id}) => id !== peer.id && this.isResponsive(id))
      .slice(0, INDIRECT_PROBE_RELAYS)
      .forEach(relay =>
        this.options.peers.probe(relay.address, {
          ...probe,
          relayTo: peer.address,
        }),
      );
  }

  /**
   * Probes another member on behalf of the sender, whose updates it passes on. Everything
   * else describes this daemon, which the member takes for the sender.
   */
  private relay(probe: Probe, address: string): void {
    const subject = this.options.members
      .others()
      .find(member => member.address === probe.relayTo);
    const message = this.message(subject?.id, probe.sequence, false);
    this.options.peers.probe(probe.relayTo, {
      ...message,
      updates: [...message.updates, ...probe.updates],
      relayFrom: address,
      load: undefined,
    });
  }

  /** Returns a relayed answer to the member that requested the probe. */
  private relayAnswer(sender: string, probe: Probe): void {
    this.options.peers.probe(probe.relayFrom, {
      ...this.message(undefined, probe.sequence, true),
      subject: sender,
      load: undefined,
    });
  }

  /**
   * Clears the misses of a member that answered a relay. It is alive, but does
   * not become responsive: its log position is not known.
   */
  private recordIndirectAnswer(id: string): void {
    this.contacts.clearMisses(id);
  }

  private sendProbe(peer: Member, isScheduled: boolean): void {
    this.sequence += 1;
    this.contacts.recordProbe(peer.id, this.sequence, isScheduled);
    this.options.peers.probe(peer.address, {
      ...this.message(peer.id, this.sequence, false),
      outOfTouch: isScheduled && !this.isResponsive(peer.id),
    });
  }

  private answer(peer: Member, probe: Probe, address: string): void {
    const message = this.message(peer.id, probe.sequence, true);
    this.options.peers.probe(address, {
      ...message,
      relayFrom: probe.relayFrom,
      load: undefined,
      updates: [...message.updates, ...this.updatesToRefute(peer, probe)],
    });
  }

  /** Returns the disputed state of the sender, so that it can refute it. */
  private updatesToRefute(peer: Member, probe: Probe): Member[] {
    const isDisputed =
      peer.state === MemberState.SUSPECT || peer.state === MemberState.DEAD;
    const mayBeUnknown =
      probe.incarnation <= peer.incarnation ||
      (peer.state === MemberState.DEAD &&
        sessionOf(probe.incarnation) === sessionOf(peer.incarnation));
    return isDisputed && mayBeUnknown ? [peer] : [];
  }

  private message(
    peer: string | undefined,
    sequence: number,
    answer: boolean,
  ): Probe {
    const {log, members} = this.options;
    const staged = log.stagedPosition(peer ?? '');
    return {
      sequence,
      answer,
      ...this.ownState(),
      updates: members.takeMemberUpdates(),
      logEpoch: log.epoch,
      logTop: log.top,
      seenEpoch: staged.epoch,
      seenTop: staged.top,
      knowledge: log.digest,
      load: this.load,
      relayTo: '',
      relayFrom: '',
      subject: '',
      outOfTouch: false,
      inTouch: peer !== undefined && this.isResponsive(peer),
    };
  }

  private ownState(): {state: MemberState; incarnation: number} {
    const {state, incarnation} = this.options.members.self;
    return {state, incarnation};
  }

  private recordSender(known: Member, probe: Probe): void {
    const {hooks, log, members} = this.options;
    this.contacts.recordDatagram(known.id, probe);
    const {state, incarnation} = memberFromUpdate({
      ...known,
      state: probe.state,
      incarnation: probe.incarnation,
    });
    members.mergeMember({...known, state, incarnation});
    if (probe.load !== undefined) {
      hooks.onLoad(probe.load);
    }
    log.recordConfirmation(known.id, probe.seenEpoch, probe.seenTop);
    if (probe.outOfTouch) {
      // The peer does not regard this daemon as current until it gets an
      // answer, which carries the log position. So it need not confirm earlier
      // changes.
      log.recordConfirmation(known.id, log.epoch, log.top);
    }
    hooks.onConfirmed();
    if (!log.hasUnstagedChanges(known.id, probe.logEpoch, probe.logTop)) {
      return;
    }
    if (probe.knowledge === log.digest) {
      log.recordStaged(known.id, probe.logEpoch, probe.logTop);
    } else {
      hooks.onUnstagedChanges(known, probe.logEpoch);
    }
  }

  private recordAnswer(sender: string, probe: Probe): void {
    if (this.contacts.recordAnswer(sender, probe.sequence)) {
      this.options.hooks.onContactRestored();
    }
  }
}
