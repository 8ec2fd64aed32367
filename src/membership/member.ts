/** Members of the fleet of daemons and how news of them is merged. */
import type {MemberUpdate} from '../generated/packet.js';

/**
 * States of a member. Within one incarnation a higher state replaces a lower
 * one. A member that lives on is of a higher incarnation; one that was taken
 * for dead, rightly or not, comes back in a new life, by joining again.
 */
export const MemberState = {
  JOINING: 0,
  READY: 1,
  SUSPECT: 2,
  LEAVING: 3,
  DEAD: 4,
  LEFT: 5,
} as const;
/** One of the states in `MemberState`. */
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** Names of the states for people. */
export const MEMBER_STATE_NAMES: readonly string[] = [
  'joining',
  'ready',
  'suspect',
  'leaving',
  'dead',
  'left',
];

/** One daemon as another one sees it. */
export interface Member {
  readonly id: string;
  /** "ip:port" of both datagrams and calls. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: MemberState;
  /** Chosen by the member itself; grows. */
  readonly incarnation: number;
}

/** Incarnations of one run of a daemon; a new run starts at a later number. */
const INCARNATIONS_A_RUN = 4_096;

/** Incarnations of one life. */
const INCARNATIONS_A_LIFE = 64;

/** The first incarnation of a run that starts at `wallMs`. */
export function firstIncarnation(wallMs: number): number {
  return wallMs * INCARNATIONS_A_RUN;
}

/** The life that an incarnation belongs to. */
export function lifeOf(incarnation: number): number {
  return Math.floor(incarnation / INCARNATIONS_A_LIFE);
}

/** The first incarnation of the life after the one of an incarnation. */
export function nextLife(incarnation: number): number {
  return (lifeOf(incarnation) + 1) * INCARNATIONS_A_LIFE;
}

/** Names one run of a daemon: a restarted one remembers nothing. */
export function runOf(member: Member): string {
  const run = Math.floor(member.incarnation / INCARNATIONS_A_RUN);
  return `${member.id}/${run}`;
}

/** Whether a member owns partitions. */
export function ownsPartitions(member: Member): boolean {
  return (
    member.state === MemberState.READY || member.state === MemberState.SUSPECT
  );
}

/** Whether a member handles packets. */
export function handlesPackets(member: Member): boolean {
  return ownsPartitions(member) || member.state === MemberState.LEAVING;
}

/** Whether a member is expected to answer probes. */
export function answersProbes(member: Member): boolean {
  return member.state < MemberState.DEAD;
}

/** Whether news `next` replaces what is known. */
export function replaces(next: Member, known: Member): boolean {
  const lives = lifeOf(next.incarnation) - lifeOf(known.incarnation);
  if (lives !== 0) {
    return lives > 0;
  }
  if (known.state >= MemberState.DEAD || next.state >= MemberState.DEAD) {
    // The end of a life stands, whatever its last incarnation was.
    return next.state > known.state;
  }
  return (
    next.incarnation > known.incarnation ||
    (next.incarnation === known.incarnation && next.state > known.state)
  );
}

/** Reads a member from a message; unknown states are taken as dead. */
export function memberOf(update: MemberUpdate): Member {
  const known = Object.values(MemberState).find(
    state => state === update.state,
  );
  return {...update, state: known ?? MemberState.DEAD};
}
