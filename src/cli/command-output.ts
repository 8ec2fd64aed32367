/** Options, output and exit codes that all commands share. */

/** Exit codes of the command line. */
export const ExitCode = {DONE: 0, FAILED: 1, USAGE_ERROR: 2} as const;
/** One of the codes in `ExitCode`. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Options that several commands share. */
export interface CommonOptions {
  readonly config: string;
  readonly json?: boolean;
}

/** Prints a line to standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints a line to standard error. */
export function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}
