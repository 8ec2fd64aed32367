/** Faults of configuration and settings files. */

/** One fault of a file: its place, what is wrong and how to correct it. */
export interface Fault {
  readonly file: string;
  /** Section name; empty for a section or a line before the first one. */
  readonly section: string;
  /** Key name; empty when the fault is not in one key. */
  readonly key: string;
  readonly wrong: string;
  readonly right: string;
}

/** All faults that were found in a file or a set of files. */
export class ConfigurationFaults extends Error {
  readonly type = 'ConfigurationFaults';

  private constructor(readonly faults: readonly Fault[]) {
    super(faults.map(formatFault).join('\n'));
  }

  /** Creates the error from at least one fault. */
  static create(faults: readonly Fault[]): ConfigurationFaults {
    return new ConfigurationFaults(faults);
  }
}

/** Formats a fault as one line, "FILE: [SECTION] KEY: WRONG; RIGHT". */
export function formatFault(fault: Fault): string {
  const section = fault.section === '' ? '' : ` [${fault.section}]`;
  const key = fault.key === '' ? '' : ` ${fault.key}`;
  const location = section + key === '' ? '' : `${section}${key}:`;
  return `${fault.file}:${location} ${fault.wrong}; ${fault.right}`;
}
