/** Faults of files that people write. */

/** One fault: where it is, what is wrong and what would be right. */
export interface Fault {
  readonly file: string;
  /** Section name; empty at the top of the file. */
  readonly section: string;
  /** Key name; empty when the section itself is at fault. */
  readonly key: string;
  readonly wrong: string;
  readonly right: string;
}

/** All faults of a file or of a set of files. */
export class ConfigurationFaults extends Error {
  readonly type = 'ConfigurationFaults';

  private constructor(readonly faults: readonly Fault[]) {
    super(faults.map(formatFault).join('\n'));
  }

  /** Creates the failure from at least one fault. */
  static create(faults: readonly Fault[]): ConfigurationFaults {
    return new ConfigurationFaults(faults);
  }
}

/** One line for people. */
export function formatFault(fault: Fault): string {
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  const place = section + key === '' ? '' : `${section}${key}:`;
  return `${fault.file}:${place} ${fault.wrong}; ${fault.right}`;
}
