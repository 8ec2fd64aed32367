/** Small numbers for server ids, so that flow state stays small. */

/** Numbers server ids in the order in which they are first seen. */
export class ServerDirectory {
  private readonly numbers = new Map<string, number>();
  private readonly ids: string[] = [];

  private constructor() {}

  /** Creates an empty directory. */
  static create(): ServerDirectory {
    return new ServerDirectory();
  }

  /** The number of an id; a new id gets the next number. */
  numberOf(id: string): number {
    const known = this.numbers.get(id);
    if (known !== undefined) {
      return known;
    }
    this.numbers.set(id, this.ids.length);
    this.ids.push(id);
    return this.ids.length - 1;
  }

  /** The id of a number given out before. */
  idOf(number: number): string {
    return this.ids[number];
  }
}
