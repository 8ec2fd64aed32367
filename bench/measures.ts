/** Statistics used by several experiments. */
import type {BackendReport} from './cluster.js';
import type {CallersReport} from '../standins/flow-callers.js';

/** Unevenness of counts per server. */
export interface Imbalance {
  readonly maxOverMean: number;
  readonly coefficientOfVariation: number;
}

/** Computes the imbalance of counts, each divided by its server's weight. */
export function computeImbalance(
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

/** Rounds to four decimal places. */
export function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}

/** Flow counts summed over services, as callers observed them. */
export interface FlowTotals {
  readonly flows: number;
  readonly brokenFlows: number;
  readonly refusedFlows: number;
  readonly openFlows: number;
}

/** Sums the flow states of all services. */
export function computeFlowTotals(report: CallersReport): FlowTotals {
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

/** Sums one count over servers. */
export function sumReports(
  reports: readonly BackendReport[],
  count: (report: BackendReport) => number,
): number {
  return reports.reduce((total, report) => total + count(report), 0);
}

/** Fits a straight line to points by least squares. */
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
