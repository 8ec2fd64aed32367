/**
 * Merges gossiped membership updates, and refutes wrong ones about this daemon:
 * a suspicion with a higher incarnation, a declared death with a new session
 * and a rejoin.
 */
import type {MemberUpdate} from '../generated/packet.js';
import type {MemberList} from './member-list.js';
import {
  MemberState,
  sessionOf,
  memberFromUpdate,
  firstIncarnationOfNextSession,
  type Member,
} from './member.js';

/** Callbacks for updates that concern this daemon itself. */
export interface MembershipUpdaterHooks {
  /** Sends this daemon's own state to every peer immediately. */
  announce(): void;
  /** Other members declared this daemon dead; it has to rejoin. */
  onDeclaredDead(): void;
}

/** Applies membership updates to one daemon's member list. */
export class MembershipUpdater {
  private constructor(
    private readonly members: MemberList,
    private readonly hooks: MembershipUpdaterHooks,
  ) {}

  /** Creates an updater of `members`. */
  static create(
    members: MemberList,
    hooks: MembershipUpdaterHooks,
  ): MembershipUpdater {
    return new MembershipUpdater(members, hooks);
  }

  /** Merges updates; those about this daemon are handled last. */
  merge(updates: readonly MemberUpdate[]): void {
    const {members} = this;
    const self = members.self;
    updates
      .filter(update => update.id !== self.id)
      .forEach(update => members.mergeUpdate(update));
    updates
      .filter(update => update.id === self.id)
      .forEach(update => this.refute(memberFromUpdate(update)));
  }

  /** Refutes an update that claims this daemon to be suspect or dead. */
  private refute(claimed: Member): void {
    const self = this.members.self;
    const isSameSession =
      sessionOf(claimed.incarnation) === sessionOf(self.incarnation);
    const hasLeft = self.state === MemberState.LEFT;
    if (hasLeft || !isSameSession) {
      return;
    }
    if (claimed.state === MemberState.DEAD) {
      this.startNewSession();
    } else if (
      claimed.state === MemberState.SUSPECT &&
      claimed.incarnation >= self.incarnation
    ) {
      this.members.startOwnIncarnation(self.state, claimed.incarnation + 1);
      this.hooks.announce();
    }
  }

  /**
   * Other members own this daemon's partitions by now, so it rejoins, unless it
   * is leaving.
   */
  private startNewSession(): void {
    const self = this.members.self;
    const isLeaving = self.state === MemberState.LEAVING;
    const state = isLeaving ? MemberState.LEAVING : MemberState.JOINING;
    this.members.startOwnIncarnation(
      state,
      firstIncarnationOfNextSession(self.incarnation),
    );
    this.hooks.announce();
    if (!isLeaving) {
      this.hooks.onDeclaredDead();
    }
  }
}
