/** Port to the structured log. */

/** Fields of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Writes one line per event; event names are stable identifiers. */
export abstract class Log {
  abstract error(event: string, fields?: LogFields): void;
  abstract warn(event: string, fields?: LogFields): void;
  abstract info(event: string, fields?: LogFields): void;
  abstract debug(event: string, fields?: LogFields): void;
}
