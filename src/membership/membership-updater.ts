/**
 * What others tell of members. This daemon takes it for all members but itself:
 * it overrides what is wrong of it, and joins again where that is too late.
 */
import type {MemberUpdate} from '../generated/packet.js';
import type {MemberList} from './member-list.js';
import {
  MemberState,
  lifeOf,
  memberOf,
  nextLife,
  type Member,
} from './member.js';

/** What is done when others are wrong of this daemon. */
export interface MembershipUpdaterHooks {
  /** Tells every peer at once what this daemon says of itself. */
  announce(): void;
  /** The others took this daemon for dead; it has to join again. */
  onDeclaredDead(): void;
}

/** Takes news of members into one daemon's list. */
export class MembershipUpdater {
  private constructor(
    private readonly members: MemberList,
    private readonly hooks: MembershipUpdaterHooks,
  ) {}

  /** Creates the way of news into `members`. */
  static create(
    members: MemberList,
    hooks: MembershipUpdaterHooks,
  ): MembershipUpdater {
    return new MembershipUpdater(members, hooks);
  }

  /** Takes news; what is said of this daemon comes last. */
  merge(updates: readonly MemberUpdate[]): void {
    const {members} = this;
    const self = members.self;
    updates
      .filter(update => update.id !== self.id)
      .forEach(update => members.merge(update));
    updates
      .filter(update => update.id === self.id)
      .forEach(update => this.refute(memberOf(update)));
  }

  /** Overrides what others say of this daemon. */
  private refute(said: Member): void {
    const self = this.members.self;
    const sameLife = lifeOf(said.incarnation) === lifeOf(self.incarnation);
    const isOver = self.state === MemberState.LEFT;
    if (isOver || !sameLife) {
      return;
    }
    if (said.state === MemberState.DEAD) {
      this.startNewLife();
    } else if (
      said.state === MemberState.SUSPECT &&
      said.incarnation >= self.incarnation
    ) {
      this.members.renewSelf(self.state, said.incarnation + 1);
      this.hooks.announce();
    }
  }

  /** Others own this daemon's part by now, so it has to join again. */
  private startNewLife(): void {
    const self = this.members.self;
    const leaves = self.state === MemberState.LEAVING;
    const state = leaves ? MemberState.LEAVING : MemberState.JOINING;
    this.members.renewSelf(state, nextLife(self.incarnation));
    this.hooks.announce();
    if (!leaves) {
      this.hooks.onDeclaredDead();
    }
  }
}
