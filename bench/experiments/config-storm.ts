/** Two operators edit concurrently while the store and daemons fail. */
import {randomUUID} from 'node:crypto';
import {
  decodeDocument,
  encodeDocument,
} from '../../src/configuration/document.js';
import type {Edit} from '../../src/configuration/revision.js';
import {nextDocument} from '../../src/configuration/revision.js';
import {StatsdCounters} from '../../src/adapters/statsd-counters.js';
import {GrpcStore} from '../../src/adapters/grpc-store.js';
import {SystemClock} from '../../src/adapters/system-clock.js';
import {Cluster, pause} from '../cluster.js';
import {round} from '../measures.js';
import {HANDHELD, PARKWISE_DOMAINS} from '../plans.js';
import {RevisionPoller} from '../revision-poller.js';
import {collectFailures, type Experiment} from './experiment.js';

const DAEMONS = 8;
const EDIT_PHASE_MS = 30_000;
const EDIT_TIMEOUT_MS = 12_000;
const EDIT_INTERVAL_MS = 300;
const SETTLE_MS = 6_000;
const NAIVE_KEY = 'bench/naive';
const IN_EFFECT_LIMIT_MS = 3_000;

/** An edit that its operator was told had been accepted. */
interface AcceptedEdit {
  readonly editId: string;
  readonly revision: number;
  /** Revision that the edit was based on. */
  readonly base: number;
  readonly atMs: number;
}

/** Counts lost, overwritten and reverted edits; measures the time until in effect. */
export const configStorm: Experiment = {
  name: 'config-storm',
  summary: 'two concurrent operators, lost replies, outages, daemons replaced',
  run: async context => {
    const cluster = context.registerCluster(
      await Cluster.create({
        daemons: DAEMONS,
        domains: PARKWISE_DOMAINS,
        services: [HANDHELD],
        seed: context.seed,
      }),
    );
    const poller = RevisionPoller.create(cluster);
    const accepted: AcceptedEdit[] = [];
    const conflicts = {count: 0};
    const until = Date.now() + EDIT_PHASE_MS;
    const callsBefore = await readStoreCalls(cluster);
    const operators = ['op-a', 'op-b'].map(name =>
      runOperator(cluster, name, until, accepted, conflicts),
    );
    const naive = runNaiveOperators(cluster, until);
    await injectFaults(cluster);
    await Promise.all(operators);
    const naiveFigures = await naive;
    const calls = (await readStoreCalls(cluster)) - callsBefore;
    await pause(SETTLE_MS);
    const final = (await cluster.platform.editor.read())._unsafeUnwrap();
    const ids = poller.editIds;
    const lostEdits = accepted.filter(({editId}) => !ids.has(editId)).length;
    const unseenOverwrites = accepted.filter(
      ({base, revision}) => revision !== base + 1,
    ).length;
    const statuses = await cluster.readStatuses();
    const mixedRevisions = statuses.filter(
      ({revision}) => revision !== final.document.revision,
    ).length;
    poller.stop();
    const {reverts} = poller;
    const inForce = accepted.flatMap(
      ({revision, atMs}) => poller.timeUntilInEffect(revision, atMs) ?? [],
    );
    const withoutFaults = await measureWithoutFaults(cluster);
    await cluster.close();
    const figures = {
      acceptedEdits: accepted.length,
      conflicts: conflicts.count,
      lostEdits,
      unseenOverwrites,
      reverts,
      mixedRevisions,
      inForceMs: computePercentiles(withoutFaults),
      inForceInStormMs: computePercentiles(inForce),
      storeCallsPerSecond: round((calls * 1_000) / EDIT_PHASE_MS),
      naive: naiveFigures,
    };
    return {
      figures,
      failures: collectFailures([
        [lostEdits === 0, `${lostEdits} accepted edits were lost`],
        [
          unseenOverwrites === 0,
          `${unseenOverwrites} accepted edits replaced a revision that was not their base`,
        ],
        [
          reverts === 0,
          `daemons reverted to an older revision ${reverts} times`,
        ],
        [
          mixedRevisions === 0,
          `${mixedRevisions} daemons are not at the final revision`,
        ],
        [
          figures.inForceMs.p99 <= IN_EFFECT_LIMIT_MS,
          'p99 of the time until an edit is in effect is over 3 s',
        ],
        [
          naiveFigures.lostEdits + naiveFigures.unseenOverwrites > 0,
          'the naive policy lost no edits, so the comparison shows nothing',
        ],
      ]),
    };
  },
};

function computePercentiles(values: readonly number[]) {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  return {p50: at(0.5), p99: at(0.99)};
}

/** Reads the newest revision and edits it, again and again; conflicts are counted. */
async function runOperator(
  cluster: Cluster,
  name: string,
  until: number,
  accepted: AcceptedEdit[],
  conflicts: {count: number},
): Promise<void> {
  while (Date.now() < until) {
    const read = await cluster.platform.editor.read();
    if (read.isOk()) {
      const base = read.value.document.revision;
      const edit = createEdit(cluster, name, base);
      const result = await cluster.platform.editor.apply(edit, {
        base,
        rebase: false,
        deadline: cluster.platform.clock.now() + EDIT_TIMEOUT_MS,
      });
      result.match(
        document => {
          const own = document.edits.find(({editId}) => editId === edit.editId);
          accepted.push({
            editId: edit.editId,
            revision: own?.revision ?? 0,
            base,
            atMs: Date.now(),
          });
        },
        () => {
          conflicts.count += 1;
        },
      );
    }
    await pause(EDIT_INTERVAL_MS);
  }
}

function createEdit(cluster: Cluster, name: string, base: number): Edit {
  const sources = cluster.createConfiguration();
  const text = sources['workspace/parkwise'].replace(
    'name = parkwise',
    `name = parkwise\nrequests-in-flight = ${1_000 + base}`,
  );
  return {
    editId: randomUUID(),
    editor: name,
    atMs: Date.now(),
    changes: {'workspace/parkwise': text},
  };
}

/** Runs operators that overwrite whatever revision is stored and repeat lost writes. */
async function runNaiveOperators(cluster: Cluster, until: number) {
  const store = GrpcStore.create(
    cluster.storeAddress,
    SystemClock.create(),
    StatsdCounters.create(undefined, 'naive'),
  );
  const accepted: AcceptedEdit[] = [];
  const run = async (name: string) => {
    while (Date.now() < until) {
      const read = await store.get(NAIVE_KEY);
      const edit = createEdit(cluster, name, 0);
      if (read.isOk()) {
        const before = decodeDocument(read.value.value)._unsafeUnwrap();
        const next = nextDocument(before, {
          ...edit,
          changes: {...cluster.createConfiguration(), ...edit.changes},
        })._unsafeUnwrap();
        const written = await overwrite(store, encodeDocument(next), until);
        if (written) {
          const base = before.revision;
          const {editId} = edit;
          const atMs = Date.now();
          accepted.push({editId, revision: written, base, atMs});
        }
      }
      await pause(EDIT_INTERVAL_MS);
    }
  };
  await Promise.all(['op-a', 'op-b'].map(run));
  const last = await store.get(NAIVE_KEY);
  store.close();
  const document = decodeDocument(last._unsafeUnwrap().value)._unsafeUnwrap();
  const ids = new Set(document.edits.map(({editId}) => editId));
  return {
    acceptedEdits: accepted.length,
    lostEdits: accepted.filter(({editId}) => !ids.has(editId)).length,
    unseenOverwrites: accepted.filter(
      ({base, revision}) => revision !== base + 1,
    ).length,
  };
}

/**
 * Writes over whatever version is stored, and tries again until it succeeds.
 * Returns the new version; undefined when the time is over.
 */
async function overwrite(
  store: GrpcStore,
  value: Uint8Array,
  until: number,
): Promise<number | undefined> {
  const newest = await store.get(NAIVE_KEY);
  if (newest.isOk()) {
    const {version} = newest.value;
    const swapped = await store.compareAndSwap(NAIVE_KEY, value, version);
    if (swapped.isOk() && swapped.value.swapped) {
      return swapped.value.current.version;
    }
  }
  await pause(EDIT_INTERVAL_MS);
  return Date.now() < until ? overwrite(store, value, until) : undefined;
}

async function injectFaults(cluster: Cluster): Promise<void> {
  await pause(3_000);
  await cluster.store.configure({loseAnswers: 0.25, slowMs: 20});
  const [leaving, frozen] = [...cluster.daemons.keys()];
  cluster.startDaemon();
  await cluster.waitReady();
  await cluster.stopDaemon(leaving);
  cluster.freezeDaemon(frozen, true);
  await pause(3_000);
  cluster.freezeDaemon(frozen, false);
  await cluster.store.configure({down: true});
  await pause(5_000);
  await cluster.store.configure({down: false});
  await pause(2_000);
  await cluster.store.configure({loseAnswers: 0, slowMs: 0});
}

/** Returns the milliseconds until in effect of five edits without faults. */
async function measureWithoutFaults(cluster: Cluster): Promise<number[]> {
  const times: number[] = [];
  await Array.from({length: 5}).reduce(async earlier => {
    await earlier;
    const startMs = Date.now();
    const edit = createEdit(cluster, 'calm', startMs % 1_000);
    const revision = await cluster.apply('calm', edit.changes);
    await cluster.waitFor('the edit is in effect', async () =>
      (await cluster.readStatuses()).every(
        status => status.revision >= revision,
      ),
    );
    times.push(Date.now() - startMs);
  }, Promise.resolve());
  return times;
}

async function readStoreCalls(cluster: Cluster): Promise<number> {
  return (await cluster.store.configure<{calls: number}>()).calls;
}
