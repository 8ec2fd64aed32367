/** What all commands of the operators' tool share: options, output, exit codes. */

/** Exit codes of the tool. */
export const ExitCode = {DONE: 0, FAILED: 1, WRONG_USE: 2} as const;
/** One of the codes in `ExitCode`. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Options that several commands share. */
export interface CommonOptions {
  readonly config: string;
  readonly json?: boolean;
}

/** Prints to standard output. */
export function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints to standard error. */
export function printError(text: string): void {
  process.stderr.write(`${text}\n`);
}
