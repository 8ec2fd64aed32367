/**
 * Requests that wait for a slot: workspaces take turns, and within one the
 * request with the earliest deadline goes first.
 */

/** What the queue needs to know of a request. */
export interface QueuedRequest {
  readonly workspace: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

/** A bounded queue a pool of servers. */
export class RequestQueue<T extends QueuedRequest> {
  /** By workspace, each list in the order of deadlines. */
  private readonly lists = new Map<string, T[]>();
  private count = 0;

  private constructor(private readonly bound: number) {}

  /** Creates a queue; each workspace may have `bound` requests in it. */
  static create<T extends QueuedRequest>(bound: number): RequestQueue<T> {
    return new RequestQueue<T>(bound);
  }

  /** Requests of all workspaces. */
  get size(): number {
    return this.count;
  }

  /** Requests of one workspace. */
  sizeOf(workspace: string): number {
    return this.lists.get(workspace)?.length ?? 0;
  }

  /** Workspaces that have requests waiting. */
  get workspaces(): number {
    return this.lists.size;
  }

  /** Adds a request; false when the workspace's part is full. */
  add(item: T): boolean {
    const list = this.lists.get(item.workspace) ?? [];
    if (list.length >= this.bound) {
      return false;
    }
    this.lists.set(item.workspace, list);
    const later = list.findIndex(({deadline}) => deadline > item.deadline);
    list.splice(later < 0 ? list.length : later, 0, item);
    this.count += 1;
    return true;
  }

  /** Takes the next request: the first workspace's, which then goes last. */
  take(): T | undefined {
    const first = this.lists.entries().next();
    if (first.done === true) {
      return undefined;
    }
    const [workspace, list] = first.value;
    const item = list.shift();
    this.lists.delete(workspace);
    if (list.length > 0) {
      this.lists.set(workspace, list);
    }
    this.count -= item === undefined ? 0 : 1;
    return item;
  }

  /** Removes a request; false when it is not waiting any more. */
  remove(item: T): boolean {
    const list = this.lists.get(item.workspace) ?? [];
    const position = list.indexOf(item);
    if (position < 0) {
      return false;
    }
    list.splice(position, 1);
    this.count -= 1;
    if (list.length === 0) {
      this.lists.delete(item.workspace);
    }
    return true;
  }
}
