/** The port for structured logs. */

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes one line an event; names are short and stable. */
export abstract class Log {
  abstract error(event: string, fields?: LogFields): void;
  abstract warn(event: string, fields?: LogFields): void;
  abstract info(event: string, fields?: LogFields): void;
  abstract debug(event: string, fields?: LogFields): void;
}
