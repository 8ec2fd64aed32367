/** A budget that keeps repeated tries to a share of the first ones. */

const DEFAULT_RESERVE = 3;

/** Earns a share of a try with each first try; each repeat spends one. */
export class RetryBudget {
  private balance: number;

  private constructor(
    /** Repeats a first try pays for, 0 to 1. */
    private readonly share: number,
    /** Most that can be saved up, in tries. */
    private readonly reserve: number,
  ) {
    this.balance = reserve;
  }

  /** Creates a budget that starts with its reserve. */
  static create(share: number, reserve = DEFAULT_RESERVE): RetryBudget {
    return new RetryBudget(share, reserve);
  }

  /** Counts a first try. */
  earn(): void {
    this.balance = Math.min(this.reserve, this.balance + this.share);
  }

  /** Whether a repeat could be taken. */
  get isOpen(): boolean {
    return this.balance >= 1;
  }

  /** Takes one repeat that is made in any case; the balance may go below 0. */
  charge(): void {
    this.balance = Math.max(-this.reserve, this.balance - 1);
  }

  /** Takes one repeat; false when there is none left. */
  spend(): boolean {
    if (this.balance < 1) {
      return false;
    }
    this.balance -= 1;
    return true;
  }
}
