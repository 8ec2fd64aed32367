/** Figures that experiments share. */
import type {BackendReport} from './cluster.js';
import type {CallersReport} from '../standins/flow-callers.js';

/** How unevenly work lands on servers. */
export interface Imbalance {
  readonly maxOverMean: number;
  readonly coefficientOfVariation: number;
}

/** The imbalance of counts, each divided by its server's weight. */
export function imbalanceOf(
  counts: readonly number[],
  weights: readonly number[] = counts.map(() => 1),
): Imbalance {
  const values = counts.map((count, index) => count / weights[index]);
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  if (values.length === 0 || mean === 0) {
    return {maxOverMean: 1, coefficientOfVariation: 0};
  }
  const variance =
    values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / values.length;
  return {
    maxOverMean: round(Math.max(...values) / mean),
    coefficientOfVariation: round(Math.sqrt(variance) / mean),
  };
}

/** Rounds to four digits after the point. */
export function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

/** Sums of what the callers saw. */
export interface FlowTotals {
  readonly flows: number;
  readonly brokenFlows: number;
  readonly refusedFlows: number;
  readonly openFlows: number;
}

/** Adds the services up. */
export function totalsOf(report: CallersReport): FlowTotals {
  const sum = (state: string) =>
    report.services.reduce(
      (total, {states}) => total + (states[state] ?? 0),
      0,
    );
  return {
    flows: report.services.reduce((total, {flows}) => total + flows, 0),
    brokenFlows: sum('broken'),
    refusedFlows: sum('refused'),
    openFlows: sum('open'),
  };
}

/** Sum of one count over servers. */
export function sumOf(
  reports: readonly BackendReport[],
  count: (report: BackendReport) => number,
): number {
  return reports.reduce((total, report) => total + count(report), 0);
}

/** The straight line that fits points best, by least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): {
  readonly slope: number;
  readonly intercept: number;
} {
  const n = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const covariance = points.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope = variance === 0 ? 0 : covariance / variance;
  return {slope, intercept: meanY - slope * meanX};
}
