/** Two operators editing at once through every fault of the store. */
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
import {RevisionFollower} from '../revision-follower.js';
import {brokenPromises, type Experiment} from './experiment.js';

const DAEMONS = 8;
const STORM_MS = 30_000;
const EDIT_DEADLINE_MS = 12_000;
const PAUSE_MS = 300;
const SETTLE_MS = 6_000;
const NAIVE_KEY = 'bench/naive';
const WITHIN_MS = 3_000;

interface Accepted {
  readonly editId: string;
  readonly revision: number;
  /** Revision that the operator looked at. */
  readonly base: number;
  readonly atMs: number;
}

/** Edits lost, overwritten or reverted, and the time until in force. */
export const configStorm: Experiment = {
  name: 'config-storm',
  summary: 'two operators at once, lost answers, outages, daemons replaced',
  run: async context => {
    const cluster = context.use(
      await Cluster.create({
        daemons: DAEMONS,
        domains: PARKWISE_DOMAINS,
        services: [HANDHELD],
        seed: context.seed,
      }),
    );
    const follower = RevisionFollower.create(cluster);
    const accepted: Accepted[] = [];
    const conflicts = {count: 0};
    const until = Date.now() + STORM_MS;
    const callsBefore = await storeCalls(cluster);
    const operators = ['op-a', 'op-b'].map(name =>
      operate(cluster, name, until, accepted, conflicts),
    );
    const naive = naiveOperators(cluster, until);
    await injectFaults(cluster);
    await Promise.all(operators);
    const naiveFigures = await naive;
    const calls = (await storeCalls(cluster)) - callsBefore;
    await pause(SETTLE_MS);
    const final = (await cluster.platform.editor.read())._unsafeUnwrap();
    const ids = follower.editIds;
    const lostEdits = accepted.filter(({editId}) => !ids.has(editId)).length;
    const unseenOverwrites = accepted.filter(
      ({base, revision}) => revision !== base + 1,
    ).length;
    const statuses = await cluster.statuses();
    const mixedRevisions = statuses.filter(
      ({revision}) => revision !== final.document.revision,
    ).length;
    follower.stop();
    const {reverts} = follower;
    const inForce = accepted.flatMap(
      ({revision, atMs}) => follower.timeInForce(revision, atMs) ?? [],
    );
    const calm = await measureCalm(cluster);
    await cluster.close();
    const figures = {
      acceptedEdits: accepted.length,
      conflicts: conflicts.count,
      lostEdits,
      unseenOverwrites,
      reverts,
      mixedRevisions,
      inForceMs: percentiles(calm),
      inForceInStormMs: percentiles(inForce),
      storeCallsPerSecond: round((calls * 1_000) / STORM_MS),
      naive: naiveFigures,
    };
    return {
      figures,
      broken: brokenPromises([
        [lostEdits === 0, `${lostEdits} accepted edits were lost`],
        [unseenOverwrites === 0, 'an edit was overwritten unseen'],
        [reverts === 0, 'a daemon went back'],
        [mixedRevisions === 0, 'daemons differ at the end'],
        [figures.inForceMs.p99 <= WITHIN_MS, 'an edit took over 3 s'],
        [
          naiveFigures.lostEdits + naiveFigures.unseenOverwrites > 0,
          'the naive way lost nothing: no measure',
        ],
      ]),
    };
  },
};

function percentiles(values: readonly number[]) {
  const sorted = [...values].sort((a, b) => a - b);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  return {p50: at(0.5), p99: at(0.99)};
}

/** One operator: looks, edits, and looks again after a conflict. */
async function operate(
  cluster: Cluster,
  name: string,
  until: number,
  accepted: Accepted[],
  conflicts: {count: number},
): Promise<void> {
  while (Date.now() < until) {
    const read = await cluster.platform.editor.read();
    if (read.isOk()) {
      const base = read.value.document.revision;
      const edit = editOf(cluster, name, base);
      const result = await cluster.platform.editor.apply(edit, {
        base,
        rebase: false,
        deadline: cluster.platform.clock.now() + EDIT_DEADLINE_MS,
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
    await pause(PAUSE_MS);
  }
}

function editOf(cluster: Cluster, name: string, base: number): Edit {
  const sources = cluster.configuration();
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

/** Operators that write over whatever is there, and repeat lost writes. */
async function naiveOperators(cluster: Cluster, until: number) {
  const store = GrpcStore.create(
    cluster.storeAddress,
    SystemClock.create(),
    StatsdCounters.create(undefined, 'naive'),
  );
  const accepted: Accepted[] = [];
  const run = async (name: string) => {
    while (Date.now() < until) {
      const read = await store.get(NAIVE_KEY);
      const edit = editOf(cluster, name, 0);
      if (read.isOk()) {
        const before = decodeDocument(read.value.value)._unsafeUnwrap();
        const next = nextDocument(before, {
          ...edit,
          changes: {...cluster.configuration(), ...edit.changes},
        })._unsafeUnwrap();
        const written = await overwrite(store, encodeDocument(next), until);
        if (written) {
          const base = before.revision;
          const {editId} = edit;
          const atMs = Date.now();
          accepted.push({editId, revision: written, base, atMs});
        }
      }
      await pause(PAUSE_MS);
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

/** Writes at whatever version is there, until an answer comes. */
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
  await pause(PAUSE_MS);
  return Date.now() < until ? overwrite(store, value, until) : undefined;
}

async function injectFaults(cluster: Cluster): Promise<void> {
  await pause(3_000);
  await cluster.store.turn({loseAnswers: 0.25, slowMs: 20});
  const [leaving, frozen] = [...cluster.daemons.keys()];
  cluster.startDaemon();
  await cluster.waitReady();
  await cluster.stopDaemon(leaving);
  cluster.freezeDaemon(frozen, true);
  await pause(3_000);
  cluster.freezeDaemon(frozen, false);
  await cluster.store.turn({down: true});
  await pause(5_000);
  await cluster.store.turn({down: false});
  await pause(2_000);
  await cluster.store.turn({loseAnswers: 0, slowMs: 0});
}

/** Edits one after the other with the store up, each timed. */
async function measureCalm(cluster: Cluster): Promise<number[]> {
  const times: number[] = [];
  await Array.from({length: 5}).reduce(async earlier => {
    await earlier;
    const startMs = Date.now();
    const edit = editOf(cluster, 'calm', startMs % 1_000);
    const revision = await cluster.apply('calm', edit.changes);
    await cluster.waitUntil('in force', async () =>
      (await cluster.statuses()).every(status => status.revision >= revision),
    );
    times.push(Date.now() - startMs);
  }, Promise.resolve());
  return times;
}

async function storeCalls(cluster: Cluster): Promise<number> {
  return (await cluster.store.turn<{calls: number}>()).calls;
}
