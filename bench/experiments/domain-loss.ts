/**
 * A failure domain lost, and regions cut off from the store, on real daemons.
 * A cut between regions is brought about by the platform's silence towards one
 * side; packets between daemons of one machine cannot be cut from here.
 */
import {Cluster, pause} from '../cluster.js';
import {imbalanceOf, sumOf, totalsOf} from '../measures.js';
import {
  PAYMENTS,
  createRequestCluster,
  judgeRequests,
} from '../request-bench.js';
import {RevisionFollower} from '../revision-follower.js';
import {
  brokenPromises,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const FLOWS_A_SERVER = 150;
const OPEN_RATE = 1_000;
const OLD_ENOUGH_MS = 2_000;
const WATCH_MS = 10_000;
const REQUEST_RATE = 80;
const REQUEST_SECONDS = 25;
const DEADLINE_MS = 4_000;

/** Loss of a whole failure domain, then a store outage with edits refused. */
export const domainLoss: Experiment = {
  name: 'domain-loss',
  summary: 'a failure domain killed, then the platform silent, then back',
  run: async context => {
    const ours = await runOnce(context, 'weldyard');
    const naive = await runOnce(context, 'naive');
    return {
      figures: {
        ...ours,
        naive: {brokenFlows: naive.brokenFlows, imbalance: naive.imbalance},
      },
      broken: brokenPromises([
        [ours.brokenFlows === 0, `${ours.brokenFlows} flows were broken`],
        [ours.misroutedPackets === 0, 'packets were misrouted'],
        [ours.reverts === 0, 'a revision reverted'],
        [ours.doubleRuns === 0, 'payments ran twice'],
        [ours.editRefused, 'an edit was accepted without a store'],
        [naive.brokenFlows > 0, 'the naive way broke nothing'],
      ]),
    };
  },
};

async function runOnce(
  context: ExperimentContext,
  policy: 'weldyard' | 'naive',
) {
  const cluster = await createRequestCluster(context, {
    services: [PAYMENTS],
    policy,
    requestPolicy: policy,
  });
  const follower = RevisionFollower.create(cluster);
  await openFlows(cluster);
  await cluster.sendRequests({
    workspace: PAYMENTS.workspace,
    service: PAYMENTS.service,
    repeatable: false,
    rate: REQUEST_RATE,
    seconds: REQUEST_SECONDS,
    deadlineMs: DEADLINE_MS,
    duplicates: 0.05,
  });
  const lost = killDomain(cluster, 'hall-a');
  await pause(WATCH_MS);
  const editRefused = await tryEditWithoutStore(cluster);
  // Those that come back take the newest revision from peers and the store.
  lost.forEach(() => cluster.startDaemon('hall-a'));
  await cluster.waitReady();
  await pause(WATCH_MS);
  follower.stop();
  const {reverts} = follower;
  const totals = totalsOf(await cluster.flows());
  const backends = await cluster.backendReports();
  const verdict = await judgeRequests(cluster);
  await cluster.close();
  context.say(
    `${policy}: ${lost.length} daemons lost, ${JSON.stringify(totals)}`,
  );
  return {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows,
    misroutedPackets: sumOf(backends, ({misrouted}) => misrouted),
    imbalance: imbalanceOf(backends.slice(2).map(({flows}) => flows)),
    worstService: 'parkwise/meterpay',
    reverts,
    doubleRuns: verdict.doubleRuns,
    answeredShare: verdict.answered / verdict.requests,
    reasons: verdict.reasons,
    editRefused,
  };
}

/** Opens flows, drains a server, opens more: so there is state to lose. */
async function openFlows(cluster: Cluster): Promise<void> {
  const order = (count: number) => ({
    service: 'parkwise/meterpay',
    address: PAYMENTS.address,
    count,
    rate: OPEN_RATE,
  });
  await cluster.openFlows([order(PAYMENTS.servers * FLOWS_A_SERVER)]);
  const [drained, removed] = cluster.serversOf('parkwise/meterpay');
  await cluster.backend(drained, {draining: true});
  await pause(OLD_ENOUGH_MS);
  await cluster.apply('operator', cluster.configuration([drained, removed]));
  await pause(OLD_ENOUGH_MS);
  await cluster.openFlows([order(300)]);
  await pause(OLD_ENOUGH_MS);
}

function killDomain(cluster: Cluster, domain: string): string[] {
  const lost = [...cluster.daemons.values()]
    .filter(daemon => daemon.domain === domain)
    .map(({id}) => id);
  lost.forEach(id => cluster.killDaemon(id));
  return lost;
}

/** Whether an edit is refused while the store is down. */
async function tryEditWithoutStore(cluster: Cluster): Promise<boolean> {
  await cluster.store.turn({down: true});
  const result = await cluster.platform.editor.apply(
    {
      editId: 'without-store',
      editor: 'operator',
      atMs: Date.now(),
      changes: cluster.configuration(),
    },
    {rebase: true, deadline: cluster.platform.clock.now() + 1_000},
  );
  await cluster.store.turn({down: false});
  return result.isErr();
}
