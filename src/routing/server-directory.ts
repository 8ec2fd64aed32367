/** Maps server ids to small numbers, which keeps flow-table entries small. */

/** Numbers server ids from 0 in the order in which they are first seen. */
export class ServerDirectory {
  private readonly numbers = new Map<string, number>();
  private readonly ids: string[] = [];

  private constructor() {}

  /** Creates an empty directory. */
  static create(): ServerDirectory {
    return new ServerDirectory();
  }

  /** Returns the number of an id; a new id gets the next number. */
  numberOf(id: string): number {
    const known = this.numbers.get(id);
    if (known !== undefined) {
      return known;
    }
    this.numbers.set(id, this.ids.length);
    this.ids.push(id);
    return this.ids.length - 1;
  }

  /** Returns the id of a number that `numberOf` returned. */
  idOf(number: number): string {
    return this.ids[number];
  }
}
