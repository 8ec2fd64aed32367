/** Durations in settings files. */

const UNIT_MS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};

const DURATION = /^(?<amount>\d+(\.\d+)?)(?<unit>ms|s|m|h)$/;

/**
 * Parses a duration such as "250ms", "10s", "5m" or "2h" to milliseconds;
 * returns undefined when it is malformed or 0.
 */
export function parseDuration(text: string): number | undefined {
  const groups = DURATION.exec(text)?.groups;
  const value =
    Number(groups?.['amount'] ?? 0) * (UNIT_MS[groups?.['unit'] ?? ''] ?? 0);
  return value > 0 ? value : undefined;
}
