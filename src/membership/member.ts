/** Members of the fleet and the precedence of their states. */
import type {MemberUpdate} from '../generated/packet.js';

/**
 * States of a member. Within one incarnation the higher state wins, and a live
 * member refutes a suspicion with a higher incarnation. A member that was
 * declared dead, rightly or not, returns by rejoining in a new session.
 */
export const MemberState = {
  JOINING: 0,
  READY: 1,
  SUSPECT: 2,
  LEAVING: 3,
  DEAD: 4,
  LEFT: 5,
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/** Names of the states, by number. */
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
  /** "ip:port" for both datagrams and calls. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: MemberState;
  /**
   * Increased by the member itself. Its digits identify the run of the daemon,
   * the session within the run and the refutation within the session.
   */
  readonly incarnation: number;
}

/** Incarnations reserved for one run; a later run starts at a higher number. */
const INCARNATIONS_PER_RUN = 4_096;

/** Incarnations reserved for one session: from a join to death or departure. */
const INCARNATIONS_PER_SESSION = 64;

/** Returns the first incarnation of a run that starts at `wallMs`. */
export function firstIncarnation(wallMs: number): number {
  return wallMs * INCARNATIONS_PER_RUN;
}

/** Returns the session that an incarnation belongs to. */
export function sessionOf(incarnation: number): number {
  return Math.floor(incarnation / INCARNATIONS_PER_SESSION);
}

/** Returns the first incarnation of the session after the given one's. */
export function firstIncarnationOfNextSession(incarnation: number): number {
  return (sessionOf(incarnation) + 1) * INCARNATIONS_PER_SESSION;
}

/**
 * Identifies one run of a daemon; a restarted daemon has none of the state of
 * its previous run.
 */
export function runIdOf(member: Member): string {
  const run = Math.floor(member.incarnation / INCARNATIONS_PER_RUN);
  return `${member.id}/${run}`;
}

/** Whether a member owns partitions. */
export function ownsPartitions(member: Member): boolean {
  return (
    member.state === MemberState.READY || member.state === MemberState.SUSPECT
  );
}

/** Whether a member handles packets; includes leaving members. */
export function handlesPackets(member: Member): boolean {
  return ownsPartitions(member) || member.state === MemberState.LEAVING;
}

/**
 * Whether a member is expected to answer probes: not dead, and has not left.
 */
export function answersProbes(member: Member): boolean {
  return member.state < MemberState.DEAD;
}

/** Whether `next` takes precedence over the known state of the same member. */
export function supersedes(next: Member, known: Member): boolean {
  const sessionDifference =
    sessionOf(next.incarnation) - sessionOf(known.incarnation);
  if (sessionDifference !== 0) {
    return sessionDifference > 0;
  }
  if (known.state >= MemberState.DEAD || next.state >= MemberState.DEAD) {
    // Within a session, dead and left are final whatever the incarnation.
    return next.state > known.state;
  }
  return (
    next.incarnation > known.incarnation ||
    (next.incarnation === known.incarnation && next.state > known.state)
  );
}

/** Converts an update; an unknown state is treated as dead. */
export function memberFromUpdate(update: MemberUpdate): Member {
  const known = Object.values(MemberState).find(
    state => state === update.state,
  );
  return {...update, state: known ?? MemberState.DEAD};
}
