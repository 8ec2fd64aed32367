/** Runs one experiment: `npm run experiment -- NAME [--seed N] [--json]`. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {cac} from 'cac';
import {drawPage, mergeEvents} from '../src/cli/timeline-view.js';
import type {Cluster} from './cluster.js';
import {binding} from './experiments/binding.js';
import {capacity} from './experiments/capacity.js';
import {configSpread} from './experiments/config-spread.js';
import {configStorm} from './experiments/config-storm.js';
import {crash} from './experiments/crash.js';
import {domainLoss} from './experiments/domain-loss.js';
import type {Experiment, ExperimentResult} from './experiments/experiment.js';
import {fairness} from './experiments/fairness.js';
import {forwarding} from './experiments/forwarding.js';
import {imbalance} from './experiments/imbalance.js';
import {membership} from './experiments/membership.js';
import {overload} from './experiments/overload.js';
import {placing} from './experiments/placing.js';
import {replication} from './experiments/replication.js';
import {requestsFaults} from './experiments/requests-faults.js';
import {rollingReplace} from './experiments/rolling-replace.js';
import {storeOutage} from './experiments/store-outage.js';
import {tables} from './experiments/tables.js';

const TIME_LIMIT_MS = 120_000;
const LONG_TIME_LIMIT_MS = 900_000;
const DEFAULT_SEED = 1;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

const EXPERIMENTS: readonly Experiment[] = [
  rollingReplace,
  crash,
  imbalance,
  forwarding,
  replication,
  membership,
  tables,
  requestsFaults,
  overload,
  storeOutage,
  capacity,
  fairness,
  binding,
  domainLoss,
  configStorm,
  configSpread,
  placing,
];

interface Options {
  readonly list?: boolean;
  readonly seed?: number;
  readonly json?: boolean;
  readonly out?: string;
  readonly long?: boolean;
}

const clusters: Cluster[] = [];

function log(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Stops all clusters and exits; writes their time lines after a failure. */
async function shutDown(code: number): Promise<never> {
  if (code !== 0) {
    await Promise.all(clusters.map(writeTimeline));
  }
  await Promise.all(clusters.map(cluster => cluster.close()));
  process.exit(code);
}

async function writeTimeline(cluster: Cluster): Promise<void> {
  const events = mergeEvents(await cluster.timeline(), {contains: []});
  const file = path.join(cluster.folder, 'timeline.html');
  writeFileSync(file, drawPage(events));
  log(`wrote time line of ${events.length} events to ${file}`);
}

async function runExperiment(
  experiment: Experiment,
  options: Options,
): Promise<never> {
  const limit = options.long === true ? LONG_TIME_LIMIT_MS : TIME_LIMIT_MS;
  setTimeout(() => {
    log(`${experiment.name} timed out after ${limit / 1_000} s`);
    void shutDown(EXIT_FAILURE);
  }, limit).unref();
  const seed = Number(options.seed ?? DEFAULT_SEED);
  const result = await experiment.run({
    seed,
    log: text => log(`${experiment.name}: ${text}`),
    registerCluster: cluster => {
      clusters.push(cluster);
      return cluster;
    },
  });
  report(experiment, seed, result, options);
  return shutDown(result.failures.length === 0 ? 0 : EXIT_FAILURE);
}

function report(
  experiment: Experiment,
  seed: number,
  result: ExperimentResult,
  options: Options,
): void {
  result.failures.forEach(text => log(`FAILED: ${text}`));
  if (options.out !== undefined && result.picture !== undefined) {
    writeFileSync(options.out, result.picture);
    log(`wrote picture to ${options.out}`);
  }
  const output = {
    experiment: experiment.name,
    seed,
    ...result.figures,
    broken: result.failures,
  };
  const indent = options.json === true ? undefined : 2;
  process.stdout.write(`${JSON.stringify(output, null, indent)}\n`);
}

function main(): void {
  const program = cac('experiment');
  program.option('--list', 'list the experiments');
  program.option('--seed <number>', 'seed of the random number generators');
  program.option('--json', 'print one JSON object as the last line');
  program.option(
    '--out <file>',
    'write the picture, if there is one, to FILE (SVG)',
  );
  program.option('--long', 'set the time limit to 15 minutes instead of 2');
  program.help();
  const {args, options} = program.parse(process.argv, {run: false});
  const settings = options as Options & {help?: boolean};
  if (settings.help === true) {
    return;
  }
  if (settings.list === true) {
    EXPERIMENTS.forEach(({name, summary}) =>
      process.stdout.write(`${name.padEnd(18)}${summary}\n`),
    );
    return;
  }
  const found = EXPERIMENTS.find(({name}) => name === args[0]);
  if (found === undefined) {
    log(`no experiment named "${args[0] ?? ''}"; use --list to show all`);
    process.exit(EXIT_USAGE);
  }
  runExperiment(found, settings).catch((error: unknown) => {
    log(String(error instanceof Error ? error.stack : error));
    void shutDown(EXIT_FAILURE);
  });
}

main();
