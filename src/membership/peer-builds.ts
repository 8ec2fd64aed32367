/**
 * Builds of the program that peers name in their heartbeats. During an upgrade or a
 * rollback daemons of several builds serve side by side.
 */
import type {Log} from '../ports/log.js';
import {formatIpv4} from '../routing/ipv4.js';

/** Time since a build was last heard in which daemons count as running it. */
const CURRENT_MS = 60_000;
/** Time since a build was last heard after which it is logged again. */
const RETENTION_MS = 3_600_000;
/** Builds kept, which also limits the log lines in an hour; others are ignored. */
const MAXIMUM_BUILDS = 16;
const BUILD_PATTERN = /^[0-9a-z.-]{1,16}$/;
/** Name of the build of peers that name none. */
const UNNAMED = 'unnamed';

/** The builds that one daemon has heard of. */
export class PeerBuilds {
  /** When each build was last heard, in monotonic milliseconds. */
  private readonly heardAt = new Map<string, number>();

  private constructor(
    private readonly own: string,
    private readonly log: Log,
  ) {}

  /** Creates an empty record; `own` is the build of this daemon, empty if not named. */
  static create(own: string, log: Log): PeerBuilds {
    return new PeerBuilds(nameOf(own), log);
  }

  /** Records the build that a peer's heartbeat names, and logs one not known yet. */
  record(peer: number, build: string, now: number): void {
    const name = nameOf(build);
    this.removeExpired(now);
    if (!this.heardAt.has(name)) {
      if (this.heardAt.size >= MAXIMUM_BUILDS) {
        return;
      }
      if (name !== this.own) {
        this.log.info('peer-build', {peer: formatIpv4(peer), build: name});
      }
    }
    this.heardAt.set(name, now);
  }

  /** Returns how many builds run, this daemon's included; an unnamed one counts too. */
  count(now: number): number {
    const current = [...this.heardAt.keys()].filter(
      name => now - (this.heardAt.get(name) ?? -Infinity) <= CURRENT_MS,
    );
    return new Set([this.own, ...current]).size;
  }

  private removeExpired(now: number): void {
    this.heardAt.forEach((at, name) => {
      if (now - at > RETENTION_MS) {
        this.heardAt.delete(name);
      }
    });
  }
}

function nameOf(build: string): string {
  return BUILD_PATTERN.test(build) ? build : UNNAMED;
}
