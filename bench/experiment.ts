/** The experiment tool: `npm run experiment -- NAME [--seed N] [--json]`. */
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
import type {Experiment, Findings} from './experiments/experiment.js';
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

const LIMIT_MS = 120_000;
const LONG_LIMIT_MS = 900_000;
const DEFAULT_SEED = 1;
const EXIT_BROKEN = 1;
const EXIT_WRONG_USE = 2;

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

function say(text: string): void {
  process.stderr.write(`${text}\n`);
}

/** Ends all processes; what happened is kept when something went wrong. */
async function end(code: number): Promise<never> {
  if (code !== 0) {
    await Promise.all(clusters.map(keepTimeline));
  }
  await Promise.all(clusters.map(cluster => cluster.close()));
  process.exit(code);
}

async function keepTimeline(cluster: Cluster): Promise<void> {
  const events = mergeEvents(await cluster.timeline(), {contains: []});
  const file = path.join(cluster.folder, 'timeline.html');
  writeFileSync(file, drawPage(events));
  say(`time line of ${events.length} events: ${file}`);
}

async function runExperiment(
  experiment: Experiment,
  options: Options,
): Promise<never> {
  const limit = options.long === true ? LONG_LIMIT_MS : LIMIT_MS;
  setTimeout(() => {
    say(`${experiment.name} did not end within ${limit / 1_000} s`);
    void end(EXIT_BROKEN);
  }, limit).unref();
  const seed = Number(options.seed ?? DEFAULT_SEED);
  const findings = await experiment.run({
    seed,
    say: text => say(`${experiment.name}: ${text}`),
    use: cluster => {
      clusters.push(cluster);
      return cluster;
    },
  });
  report(experiment, seed, findings, options);
  return end(findings.broken.length === 0 ? 0 : EXIT_BROKEN);
}

function report(
  experiment: Experiment,
  seed: number,
  findings: Findings,
  options: Options,
): void {
  findings.broken.forEach(text => say(`BROKEN: ${text}`));
  if (options.out !== undefined && findings.picture !== undefined) {
    writeFileSync(options.out, findings.picture);
    say(`picture: ${options.out}`);
  }
  const result = {
    experiment: experiment.name,
    seed,
    ...findings.figures,
    broken: findings.broken,
  };
  const indent = options.json === true ? undefined : 2;
  process.stdout.write(`${JSON.stringify(result, null, indent)}\n`);
}

function main(): void {
  const program = cac('experiment');
  program.option('--list', 'list the experiments');
  program.option('--seed <number>', 'seed of random numbers');
  program.option('--json', 'print one JSON object as the last line');
  program.option('--out <file>', 'draw into FILE.svg');
  program.option('--long', 'allow fifteen minutes instead of two');
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
    say(`no experiment "${args[0] ?? ''}"; --list names them`);
    process.exit(EXIT_WRONG_USE);
  }
  runExperiment(found, settings).catch((error: unknown) => {
    say(String(error instanceof Error ? error.stack : error));
    void end(EXIT_BROKEN);
  });
}

main();
