/**
 * Membership view of one daemon, with the updates that it still has to gossip.
 */
import type {MemberUpdate} from '../generated/packet.js';
import {
  MemberState,
  memberFromUpdate,
  ownsPartitions,
  supersedes,
  type Member,
} from './member.js';
import {RETRANSMIT_MULTIPLIER} from './timing.js';

const MAXIMUM_UPDATES_PER_DATAGRAM = 6;

/**
 * Called after each change of a member; `before` is undefined for a new one.
 */
export type MemberListener = (member: Member, before?: Member) => void;

interface PendingUpdate {
  readonly member: Member;
  /** Datagrams that are still to carry the update. */
  remainingTransmissions: number;
}

/** Known members, including this daemon. */
export class MemberList {
  private readonly members = new Map<string, Member>();
  private readonly listeners: MemberListener[] = [];
  private pendingUpdates: PendingUpdate[] = [];

  private constructor(private own: Member) {
    this.members.set(own.id, own);
  }

  /** Creates a view that contains only this daemon. */
  static create(own: Member): MemberList {
    return new MemberList(own);
  }

  get self(): Member {
    return this.own;
  }

  /** All known members, including dead ones and those that left. */
  all(): Member[] {
    return [...this.members.values()];
  }

  /** All members except this daemon. */
  others(): Member[] {
    return this.all().filter(member => member.id !== this.own.id);
  }

  /** Members that own partitions, sorted by id. */
  owners(): Member[] {
    return this.all()
      .filter(ownsPartitions)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** Returns a member by id; undefined when it is unknown. */
  get(id: string): Member | undefined {
    return this.members.get(id);
  }

  onChange(listener: MemberListener): void {
    this.listeners.push(listener);
  }

  /**
   * Adds a member from the instance list if it is unknown, or if the known one
   * is dead or has left and had another address.
   */
  seed(id: string, address: string, failureDomain: string): void {
    const known = this.members.get(id);
    const hasMoved = known !== undefined && known.address !== address;
    const hasEnded = known !== undefined && known.state >= MemberState.DEAD;
    if (known === undefined || (hasMoved && hasEnded)) {
      const incarnation = 0;
      const state = MemberState.JOINING;
      this.put({id, address, failureDomain, state, incarnation});
    }
  }

  /** Sets the state of this daemon within its current incarnation. */
  setOwnState(state: MemberState): void {
    this.put({...this.own, state});
  }

  /**
   * Starts an incarnation of this daemon, which overrides all earlier states.
   */
  startOwnIncarnation(state: MemberState, incarnation: number): void {
    this.put({...this.own, state, incarnation});
  }

  /**
   * Merges a gossiped update; false when it does not supersede the known state.
   */
  mergeUpdate(update: MemberUpdate): boolean {
    return this.mergeMember(memberFromUpdate(update));
  }

  /**
   * Merges a member; false when it does not supersede the known state, or is
   * this daemon.
   */
  mergeMember(next: Member): boolean {
    const known = this.members.get(next.id);
    if (next.id === this.own.id) {
      return false;
    }
    if (known !== undefined && !supersedes(next, known)) {
      return false;
    }
    this.put(next);
    return true;
  }

  /** Removes a member that is gone, to bound the list. */
  remove(id: string): void {
    this.members.delete(id);
  }

  /** Takes the updates to piggyback on the next datagram. */
  takeMemberUpdates(): MemberUpdate[] {
    const taken = this.pendingUpdates.slice(0, MAXIMUM_UPDATES_PER_DATAGRAM);
    taken.forEach(item => {
      item.remainingTransmissions -= 1;
    });
    const rest = this.pendingUpdates.slice(MAXIMUM_UPDATES_PER_DATAGRAM);
    this.pendingUpdates = [
      ...rest,
      ...taken.filter(item => item.remainingTransmissions > 0),
    ];
    return taken.map(({member}) => ({...member}));
  }

  private put(member: Member): void {
    const before = this.members.get(member.id);
    this.members.set(member.id, member);
    if (member.id === this.own.id) {
      this.own = member;
    }
    this.pendingUpdates = [
      ...this.pendingUpdates.filter(item => item.member.id !== member.id),
      {
        member,
        remainingTransmissions:
          RETRANSMIT_MULTIPLIER * Math.ceil(Math.log2(this.members.size + 1)),
      },
    ];
    this.listeners.forEach(listener => listener(member, before));
  }
}
