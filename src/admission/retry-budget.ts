/** Retry budget of a dispatcher: limits retries to a share of requests. */

const DEFAULT_MAX_BALANCE = 3;

/** Token bucket filled by requests, not by time: each retry takes one token. */
export class RetryBudget {
  private balance: number;

  private constructor(
    /** Tokens that each request adds, 0 to 1. */
    private readonly retryShare: number,
    /** Maximum number of saved tokens, and of overdrawn ones. */
    private readonly maxBalance: number,
  ) {
    this.balance = maxBalance;
  }

  /** Creates a full budget. */
  static create(share: number, maxBalance = DEFAULT_MAX_BALANCE): RetryBudget {
    return new RetryBudget(share, maxBalance);
  }

  /** Adds the share of one request. */
  earn(): void {
    this.balance = Math.min(this.maxBalance, this.balance + this.retryShare);
  }

  /** Whether there is a token for a retry. */
  get isOpen(): boolean {
    return this.balance >= 1;
  }

  /** Takes a token for a retry made in any case; may overdraw the budget. */
  charge(): void {
    this.balance = Math.max(-this.maxBalance, this.balance - 1);
  }

  /** Takes a token; false when there is none left. */
  spend(): boolean {
    if (this.balance < 1) {
      return false;
    }
    this.balance -= 1;
    return true;
  }
}
