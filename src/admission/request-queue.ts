/**
 * Queue of the requests that wait for a slot: round-robin over workspaces, and
 * earliest deadline first within a workspace.
 */

/** The fields of a request that the queue sorts by. */
export interface QueuedRequest {
  readonly workspace: string;
  /** Monotonic milliseconds. */
  readonly deadline: number;
}

/** The queue of one server pool, bounded per workspace. */
export class RequestQueue<T extends QueuedRequest> {
  /** By workspace, in round-robin order; each sorted by deadline. */
  private readonly queues = new Map<string, T[]>();
  private count = 0;

  private constructor(private readonly capacityPerWorkspace: number) {}

  /** Creates a queue for `capacity` requests per workspace. */
  static create<T extends QueuedRequest>(capacity: number): RequestQueue<T> {
    return new RequestQueue<T>(capacity);
  }

  /** Number of queued requests of all workspaces. */
  get size(): number {
    return this.count;
  }

  /** Returns the number of queued requests of one workspace. */
  sizeOf(workspace: string): number {
    return this.queues.get(workspace)?.length ?? 0;
  }

  /** Number of workspaces with queued requests. */
  get workspaceCount(): number {
    return this.queues.size;
  }

  /**
   * Adds a request after those with the same deadline; false when the workspace's queue is
   * full. A workspace without queued requests joins at the end of the round.
   */
  add(item: T): boolean {
    const queue = this.queues.get(item.workspace) ?? [];
    if (queue.length >= this.capacityPerWorkspace) {
      return false;
    }
    this.queues.set(item.workspace, queue);
    const insertAt = queue.findIndex(({deadline}) => deadline > item.deadline);
    queue.splice(insertAt < 0 ? queue.length : insertAt, 0, item);
    this.count += 1;
    return true;
  }

  /**
   * Removes and returns the next request, and moves its workspace to the end of
   * the round; undefined when the queue is empty.
   */
  take(): T | undefined {
    const first = this.queues.entries().next();
    if (first.done === true) {
      return undefined;
    }
    const [workspace, queue] = first.value;
    const item = queue.shift();
    this.queues.delete(workspace);
    if (queue.length > 0) {
      this.queues.set(workspace, queue);
    }
    this.count -= item === undefined ? 0 : 1;
    return item;
  }

  /** Removes a request; false when it is no longer queued. */
  remove(item: T): boolean {
    const queue = this.queues.get(item.workspace) ?? [];
    const position = queue.indexOf(item);
    if (position < 0) {
      return false;
    }
    queue.splice(position, 1);
    this.count -= 1;
    if (queue.length === 0) {
      this.queues.delete(item.workspace);
    }
    return true;
  }
}
