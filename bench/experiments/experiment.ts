/** What an experiment is. */
import type {Cluster} from '../cluster.js';

/** What an experiment may use. */
export interface ExperimentContext {
  readonly seed: number;
  /** Tells a person how far it is. */
  say(text: string): void;
  /** Registers a cluster, so that it is ended and its time line kept. */
  use(cluster: Cluster): Cluster;
}

/** What an experiment found. */
export interface Findings {
  /** The figures, as the JSON output has them. */
  readonly figures: Readonly<Record<string, unknown>>;
  /** Promises that were broken; empty when all were kept. */
  readonly broken: readonly string[];
  /** A picture (SVG), where one helps. */
  readonly picture?: string;
}

/** One experiment. */
export interface Experiment {
  readonly name: string;
  readonly summary: string;
  run(context: ExperimentContext): Promise<Findings>;
}

/** Texts of those promises that do not hold. */
export function brokenPromises(
  promises: readonly (readonly [holds: boolean, text: string])[],
): string[] {
  return promises.filter(([holds]) => !holds).map(([, text]) => text);
}
