/** One daemon's view of the members. */
import type {MemberUpdate} from '../generated/packet.js';
import {
  MemberState,
  memberOf,
  ownsPartitions,
  replaces,
  type Member,
} from './member.js';
import {NEWS_REPEATS} from './timing.js';

/** Most pieces of news in one datagram. */
const NEWS_IN_A_DATAGRAM = 6;

/** Called after each change of a member; `before` is undefined for a new one. */
export type MemberListener = (member: Member, before?: Member) => void;

interface News {
  readonly member: Member;
  /** Datagrams that are still to carry it. */
  left: number;
}

/** The members, this daemon included. */
export class MemberList {
  private readonly members = new Map<string, Member>();
  private readonly listeners: MemberListener[] = [];
  private news: News[] = [];

  private constructor(private own: Member) {
    this.members.set(own.id, own);
  }

  /** Creates a view that holds this daemon alone. */
  static create(own: Member): MemberList {
    return new MemberList(own);
  }

  /** This daemon. */
  get self(): Member {
    return this.own;
  }

  /** All members ever heard of that are not forgotten. */
  all(): Member[] {
    return [...this.members.values()];
  }

  /** All members but this daemon. */
  others(): Member[] {
    return this.all().filter(member => member.id !== this.own.id);
  }

  /** Members that own partitions, in the order of their ids. */
  owners(): Member[] {
    return this.all()
      .filter(ownsPartitions)
      .sort((a, b) => (a.id < b.id ? -1 : 1));
  }

  /** A member by id. */
  get(id: string): Member | undefined {
    return this.members.get(id);
  }

  /** Adds a listener. */
  onChange(listener: MemberListener): void {
    this.listeners.push(listener);
  }

  /** Adds a member that the instance list names, if it is unknown. */
  seed(id: string, address: string, failureDomain: string): void {
    const known = this.members.get(id);
    const moved = known !== undefined && known.address !== address;
    const over = known !== undefined && known.state >= MemberState.DEAD;
    if (known === undefined || (moved && over)) {
      const incarnation = 0;
      const state = MemberState.JOINING;
      this.put({id, address, failureDomain, state, incarnation});
    }
  }

  /** Moves this daemon to a state. */
  moveSelf(state: MemberState): void {
    this.put({...this.own, state});
  }

  /** Starts a new incarnation, which overrides all that was said before. */
  renewSelf(state: MemberState, incarnation: number): void {
    this.put({...this.own, state, incarnation});
  }

  /** Merges one piece of news; false when it is no news. */
  merge(update: MemberUpdate): boolean {
    return this.mergeMember(memberOf(update));
  }

  /** Merges a member; false when what is known is as new. */
  mergeMember(next: Member): boolean {
    const known = this.members.get(next.id);
    if (next.id === this.own.id) {
      return false;
    }
    if (known !== undefined && !replaces(next, known)) {
      return false;
    }
    this.put(next);
    return true;
  }

  /** Removes members that are gone, so that the list stays bounded. */
  forget(id: string): void {
    this.members.delete(id);
  }

  /** News to send with the next datagram. */
  takeMemberUpdates(): MemberUpdate[] {
    const taken = this.news.slice(0, NEWS_IN_A_DATAGRAM);
    taken.forEach(item => {
      item.left -= 1;
    });
    const rest = this.news.slice(NEWS_IN_A_DATAGRAM);
    this.news = [...rest, ...taken.filter(item => item.left > 0)];
    return taken.map(({member}) => ({...member}));
  }

  private put(member: Member): void {
    const before = this.members.get(member.id);
    this.members.set(member.id, member);
    if (member.id === this.own.id) {
      this.own = member;
    }
    this.news = [
      ...this.news.filter(item => item.member.id !== member.id),
      {
        member,
        left: NEWS_REPEATS * Math.ceil(Math.log2(this.members.size + 1)),
      },
    ];
    this.listeners.forEach(listener => listener(member, before));
  }
}
