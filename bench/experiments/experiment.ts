/** The interface of an experiment and of what runs it. */
import type {Cluster} from '../cluster.js';

/** Inputs and hooks that the runner gives to an experiment. */
export interface ExperimentContext {
  readonly seed: number;
  /** Prints a line of progress. */
  log(text: string): void;
  /** Registers a cluster to be closed at the end; its time line is kept on failure. */
  registerCluster(cluster: Cluster): Cluster;
}

/** Figures and failed checks of an experiment. */
export interface ExperimentResult {
  /** Figures for the JSON output. */
  readonly figures: Readonly<Record<string, unknown>>;
  /** Messages of failed checks; printed as `broken`. */
  readonly failures: readonly string[];
  /** SVG document for `--out`. */
  readonly picture?: string;
}

/** An experiment that can be run by its name. */
export interface Experiment {
  readonly name: string;
  readonly summary: string;
  run(context: ExperimentContext): Promise<ExperimentResult>;
}

/** Returns the messages of the checks that do not hold. */
export function collectFailures(
  checks: readonly (readonly [holds: boolean, message: string])[],
): string[] {
  return checks.filter(([holds]) => !holds).map(([, message]) => message);
}
