/** Separates the evidence that came after a time from decayed counts of all evidence. */

/** A count as it was at one time; it decays like the counts of the pool. */
export class EvidenceMark {
  private constructor(
    private readonly count: number,
    private readonly at: number,
    private readonly halfLifeMs: number,
  ) {}

  /** Marks a count at `at`, in monotonic milliseconds; it halves in each `halfLifeMs`. */
  static create(count: number, at: number, halfLifeMs: number): EvidenceMark {
    return new EvidenceMark(count, at, halfLifeMs);
  }

  /** Returns what came after the mark of the count at `now`, decayed as that count is. */
  countSince(count: number, now: number): number {
    const remaining = this.count * 0.5 ** ((now - this.at) / this.halfLifeMs);
    return Math.max(0, count - remaining);
  }
}
