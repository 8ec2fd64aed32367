/**
 * Probes of peers: who lives, who is in touch, and what each has staged.
 *
 * Up to `MESH_LIMIT` members each daemon probes every other one; above that a
 * constant number in turn, so that the cost a daemon does not grow.
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
  lifeOf,
  memberOf,
  type Member,
} from './member.js';
import {PeerContacts, type PeerContact} from './peer-contacts.js';
import {
  LOAD_INTERVAL_MS,
  MESH_LIMIT,
  MISSES_BEFORE_SUSPICION,
  PROBE_INTERVAL_MS,
  RELAY_COUNT,
  SUSPICION_MS,
} from './timing.js';

/** Rounds between two probes of a dead member. */
const ROUNDS_BETWEEN_GREETINGS = 4;

/** What the detector asks of its owner. */
export interface DetectorHooks {
  /** The peer's log of changes holds something that is not staged here. */
  onBehind(peer: Member, epoch: number): void;
  /** The peer may have confirmed something. */
  onConfirmed(): void;
  /** A member that is not in the list sent a probe. */
  onStranger(id: string, address: string): void;
  /** The others took this daemon for dead; it has to join again. */
  onDeclaredDead(): void;
  /** Peers answer again after a time in which this daemon did not run. */
  onContactRestored(): void;
  /** Flow counts to publish. */
  loadToPublish(): LoadVector;
  onLoad(load: LoadVector): void;
}

/** What a detector is made from. */
export interface DetectorOptions {
  readonly members: MemberList;
  readonly log: ChangeLog;
  readonly peers: Peers;
  readonly clock: Clock;
  readonly hooks: DetectorHooks;
}

/** Probes the peers of one daemon and judges their answers. */
export class FailureDetector {
  private readonly contacts: PeerContacts;
  private readonly news: MembershipUpdater;
  private sequence = 0;
  private turn = 0;
  private load: LoadVector | undefined;
  private loadDeadline = 0;
  private timer: Timer | undefined;

  private constructor(private readonly options: DetectorOptions) {
    const {members, clock, hooks} = options;
    this.contacts = PeerContacts.create(members.self.id, clock);
    this.news = MembershipUpdater.create(members, {
      announce: () => this.announce(),
      onDeclaredDead: () => hooks.onDeclaredDead(),
    });
    members.onChange(() =>
      this.contacts.updateBounds(this.peersToProbe().length),
    );
  }

  /** Creates a detector that does nothing until started. */
  static create(options: DetectorOptions): FailureDetector {
    return new FailureDetector(options);
  }

  /** Starts to probe; the returned function stops it. */
  start(): () => void {
    this.tick();
    return () => this.timer?.cancel();
  }

  /**
   * Whether the member's knowledge is surely included in this daemon's: it is
   * in touch, and nothing of its log is still to be staged here.
   */
  isCurrent(id: string): boolean {
    if (!this.isResponsive(id) || id === this.options.members.self.id) {
      return this.isResponsive(id);
    }
    const contact = this.contacts.of(id);
    const {logEpoch, logTop} = contact;
    return !this.options.log.isBehind(id, logEpoch, logTop);
  }

  /**
   * Whether the member answered of late; for the daemon itself, whether any
   * peer did, or there is none.
   */
  isResponsive(id: string): boolean {
    return this.contacts.isResponsive(id);
  }

  /** Whether this daemon and the member both had answers of late. */
  isMutual(id: string): boolean {
    return this.isResponsive(id) && this.contacts.of(id).hearsThis;
  }

  /** Members whose confirmation is to be waited for. */
  peersInContact(): string[] {
    return this.options.members
      .others()
      .filter(member => member.state !== MemberState.LEFT)
      .filter(({id}) => this.contacts.isHeard(id))
      .map(({id}) => id);
  }

  /** Sends a probe to every peer at once, to tell of a change. */
  announce(): void {
    this.peersToProbe().forEach(peer => this.sendProbe(peer, false));
  }

  /** Probes one member now, to tell it what is staged here. */
  probeNow(id: string): void {
    const peer = this.options.members.get(id);
    if (peer !== undefined) {
      this.sendProbe(peer, false);
    }
  }

  /** Probes one address now; its member need not be in the list. */
  greet(address: string): void {
    this.options.peers.probe(address, this.message(undefined, 0, false));
  }

  /** Handles a probe or an answer of a member. */
  onProbe(sender: string, probe: Probe, address: string): void {
    this.news.merge(probe.updates);
    if (probe.subject !== '') {
      this.noteVouched(probe.subject);
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
      this.options.hooks.onStranger(sender, address);
      return;
    }
    this.noteSender(known, probe);
    if (probe.answer) {
      this.noteAnswer(sender, probe);
    } else {
      this.answer(known, probe, address);
    }
  }

  private tick(): void {
    const {clock} = this.options;
    this.contacts.noteTick();
    this.timer = clock.callAt(clock.now() + PROBE_INTERVAL_MS, () =>
      this.tick(),
    );
    this.turn += 1;
    this.prepareLoad();
    this.buryExpired();
    this.greetDead();
    this.targets().forEach(peer => this.probeInTurn(peer));
    this.load = undefined;
    this.options.hooks.onConfirmed();
  }

  /** Peers probed in this round: some in turn, and those that are silent. */
  private targets(): Member[] {
    const peers = this.peersToProbe();
    if (peers.length < MESH_LIMIT) {
      return peers;
    }
    const start = (this.turn * MESH_LIMIT) % peers.length;
    const inTurn = [...peers, ...peers].slice(start, start + MESH_LIMIT);
    const silent = peers
      .filter(({id}) => this.contacts.of(id).pendingSequence !== 0)
      .filter(peer => !inTurn.includes(peer));
    return [...inTurn, ...silent];
  }

  private peersToProbe(): Member[] {
    return this.options.members.others().filter(answersProbes);
  }

  /** Probes one dead member now and then, so that a cut heals. */
  private greetDead(): void {
    const dead = this.options.members
      .others()
      .filter(member => member.state === MemberState.DEAD);
    if (dead.length > 0 && this.turn % ROUNDS_BETWEEN_GREETINGS === 0) {
      const position = (this.turn / ROUNDS_BETWEEN_GREETINGS) % dead.length;
      this.greet(dead[position].address);
    }
  }

  private prepareLoad(): void {
    const {clock, hooks} = this.options;
    if (clock.now() >= this.loadDeadline) {
      this.loadDeadline = clock.now() + LOAD_INTERVAL_MS;
      this.load = hooks.loadToPublish();
    }
  }

  private probeInTurn(peer: Member): void {
    const contact = this.contacts.of(peer.id);
    if (contact.pendingSequence !== 0) {
      this.noteMiss(peer, contact);
    }
    this.sendProbe(peer, true);
  }

  private noteMiss(peer: Member, contact: PeerContact): void {
    contact.misses += 1;
    this.askRelays(peer);
    const live =
      peer.state === MemberState.READY || peer.state === MemberState.JOINING;
    if (contact.misses < MISSES_BEFORE_SUSPICION) {
      return;
    }
    if (live) {
      this.options.members.mergeMember({...peer, state: MemberState.SUSPECT});
    } else if (peer.state === MemberState.LEAVING) {
      this.options.members.mergeMember({...peer, state: MemberState.DEAD});
    }
  }

  /** Declares suspected members dead whose time is over. */
  private buryExpired(): void {
    const {clock, members} = this.options;
    members
      .others()
      .filter(member => member.state === MemberState.SUSPECT)
      .forEach(member => {
        const contact = this.contacts.of(member.id);
        if (contact.suspicionDeadline === 0) {
          contact.suspicionDeadline = clock.now() + SUSPICION_MS;
        } else if (contact.suspicionDeadline <= clock.now()) {
          members.mergeMember({...member, state: MemberState.DEAD});
        }
      });
  }

  private askRelays(peer: Member): void {
    const probe = this.message(undefined, this.sequence, false);
    this.peersToProbe()
      .filter(({id}) => id !== peer.id && this.isResponsive(id))
      .slice(0, RELAY_COUNT)
      .forEach(relay =>
        this.options.peers.probe(relay.address, {
          ...probe,
          relayTo: peer.address,
        }),
      );
  }

  /** Probes another member for the sender. */
  private relay(probe: Probe, address: string): void {
    this.options.peers.probe(probe.relayTo, {
      ...probe,
      ...this.ownState(),
      relayTo: '',
      relayFrom: address,
      load: undefined,
    });
  }

  /** Hands an answer to the member that asked for the relayed probe. */
  private relayAnswer(sender: string, probe: Probe): void {
    this.options.peers.probe(probe.relayFrom, {
      ...this.message(undefined, probe.sequence, true),
      subject: sender,
      load: undefined,
    });
  }

  /** A relay had an answer: the member lives, though it is not in touch. */
  private noteVouched(id: string): void {
    this.contacts.noteAlive(id);
  }

  private sendProbe(peer: Member, counted: boolean): void {
    this.sequence += 1;
    this.contacts.noteSent(peer.id, this.sequence, counted);
    this.options.peers.probe(peer.address, {
      ...this.message(peer.id, this.sequence, false),
      outOfTouch: counted && !this.isResponsive(peer.id),
    });
  }

  private answer(peer: Member, probe: Probe, address: string): void {
    const message = this.message(peer.id, probe.sequence, true);
    this.options.peers.probe(address, {
      ...message,
      relayFrom: probe.relayFrom,
      load: undefined,
      updates: [...message.updates, ...this.newsOfSender(peer, probe)],
    });
  }

  /** Tells a member what is said of it, so that it can object. */
  private newsOfSender(peer: Member, probe: Probe): Member[] {
    const disputed =
      peer.state === MemberState.SUSPECT || peer.state === MemberState.DEAD;
    const isNews =
      probe.incarnation <= peer.incarnation ||
      (peer.state === MemberState.DEAD &&
        lifeOf(probe.incarnation) === lifeOf(peer.incarnation));
    return disputed && isNews ? [peer] : [];
  }

  private message(
    peer: string | undefined,
    sequence: number,
    answer: boolean,
  ): Probe {
    const {log, members} = this.options;
    const seen = log.seen(peer ?? '');
    return {
      sequence,
      answer,
      ...this.ownState(),
      updates: members.takeMemberUpdates(),
      logEpoch: log.epoch,
      logTop: log.top,
      seenEpoch: seen.epoch,
      seenTop: seen.top,
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

  private noteSender(known: Member, probe: Probe): void {
    const {hooks, log, members} = this.options;
    this.contacts.noteHeard(known.id, probe);
    const {state, incarnation} = memberOf({
      ...known,
      state: probe.state,
      incarnation: probe.incarnation,
    });
    members.mergeMember({...known, state, incarnation});
    if (probe.load !== undefined) {
      hooks.onLoad(probe.load);
    }
    log.markConfirmed(known.id, probe.seenEpoch, probe.seenTop);
    if (probe.outOfTouch) {
      // It trusts nothing of this daemon until an answer tells it of the log.
      log.markConfirmed(known.id, log.epoch, log.top);
    }
    hooks.onConfirmed();
    if (!log.isBehind(known.id, probe.logEpoch, probe.logTop)) {
      return;
    }
    if (probe.knowledge === log.digest) {
      log.markSeen(known.id, probe.logEpoch, probe.logTop);
    } else {
      hooks.onBehind(known, probe.logEpoch);
    }
  }

  private noteAnswer(sender: string, probe: Probe): void {
    if (this.contacts.noteAnswer(sender, probe.sequence)) {
      this.options.hooks.onContactRestored();
    }
  }
}
