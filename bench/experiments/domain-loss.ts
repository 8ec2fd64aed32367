/**
 * Kills all daemons of a failure domain, then makes the store unavailable. A
 * network partition between daemons is not emulated: all share the loopback.
 */
import {Cluster, pause} from '../cluster.js';
import {computeImbalance, sumReports, computeFlowTotals} from '../measures.js';
import {
  PAYMENTS,
  createRequestCluster,
  verifyRequests,
} from '../request-bench.js';
import {RevisionPoller} from '../revision-poller.js';
import {
  collectFailures,
  type Experiment,
  type ExperimentContext,
} from './experiment.js';

const FLOWS_PER_SERVER = 150;
const OPENS_PER_SECOND = 1_000;
const SETTLE_MS = 2_000;
const OBSERVATION_MS = 10_000;
const REQUESTS_PER_SECOND = 80;
const REQUEST_SECONDS = 25;
const DEADLINE_MS = 4_000;

/** Checks flows, requests and edits during a domain failure and a store outage. */
export const domainLoss: Experiment = {
  name: 'domain-loss',
  summary: 'a failure domain killed, then a store outage, then both restored',
  run: async context => {
    const weldyard = await runOnce(context, 'weldyard');
    const naive = await runOnce(context, 'naive');
    return {
      figures: {
        ...weldyard,
        naive: {brokenFlows: naive.brokenFlows, imbalance: naive.imbalance},
      },
      failures: collectFailures([
        [
          weldyard.brokenFlows === 0,
          `${weldyard.brokenFlows} flows were broken`,
        ],
        [
          weldyard.misroutedPackets === 0,
          `${weldyard.misroutedPackets} packets were misrouted`,
        ],
        [
          weldyard.reverts === 0,
          `daemons reverted to an older revision ${weldyard.reverts} times`,
        ],
        [
          weldyard.doubleRuns === 0,
          `${weldyard.doubleRuns} payments ran more than once`,
        ],
        [weldyard.editRefused, 'an edit was accepted during the store outage'],
        [
          naive.brokenFlows > 0,
          'the naive policy broke no flows, so the comparison shows nothing',
        ],
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
  const poller = RevisionPoller.create(cluster);
  await openFlows(cluster);
  await cluster.sendRequests({
    workspace: PAYMENTS.workspace,
    service: PAYMENTS.service,
    repeatable: false,
    rate: REQUESTS_PER_SECOND,
    seconds: REQUEST_SECONDS,
    deadlineMs: DEADLINE_MS,
    duplicates: 0.05,
  });
  const lost = killDomain(cluster, 'hall-a');
  await pause(OBSERVATION_MS);
  const editRefused = await isEditRefusedWithoutStore(cluster);
  // The new daemons read the newest revision from peers and the store.
  lost.forEach(() => cluster.startDaemon('hall-a'));
  await cluster.waitReady();
  await pause(OBSERVATION_MS);
  poller.stop();
  const {reverts} = poller;
  const totals = computeFlowTotals(await cluster.controlFlowCallers());
  const backends = await cluster.readBackendReports();
  const verdict = await verifyRequests(cluster);
  await cluster.close();
  context.log(
    `${policy}: ${lost.length} daemons lost, ${JSON.stringify(totals)}`,
  );
  return {
    flows: totals.flows,
    brokenFlows: totals.brokenFlows,
    misroutedPackets: sumReports(backends, ({misrouted}) => misrouted),
    imbalance: computeImbalance(backends.slice(2).map(({flows}) => flows)),
    worstService: 'parkwise/meterpay',
    reverts,
    doubleRuns: verdict.doubleRuns,
    answeredShare: verdict.answered / verdict.requests,
    reasons: verdict.reasons,
    editRefused,
  };
}

/**
 * Opens flows before and after a drain and a removal, so that the daemons to be
 * killed hold flows that the lookup table would route to other servers.
 */
async function openFlows(cluster: Cluster): Promise<void> {
  const order = (count: number) => ({
    service: 'parkwise/meterpay',
    address: PAYMENTS.address,
    count,
    rate: OPENS_PER_SECOND,
  });
  await cluster.openFlows([order(PAYMENTS.servers * FLOWS_PER_SERVER)]);
  const [drained, removed] = cluster.listServers('parkwise/meterpay');
  await cluster.controlBackend(drained, {draining: true});
  await pause(SETTLE_MS);
  await cluster.apply(
    'operator',
    cluster.createConfiguration([drained, removed]),
  );
  await pause(SETTLE_MS);
  await cluster.openFlows([order(300)]);
  await pause(SETTLE_MS);
}

function killDomain(cluster: Cluster, domain: string): string[] {
  const lost = [...cluster.daemons.values()]
    .filter(daemon => daemon.domain === domain)
    .map(({id}) => id);
  lost.forEach(id => cluster.killDaemon(id));
  return lost;
}

/** Takes the store down and returns whether an edit is then refused. */
async function isEditRefusedWithoutStore(cluster: Cluster): Promise<boolean> {
  await cluster.store.configure({down: true});
  const result = await cluster.platform.editor.apply(
    {
      editId: 'without-store',
      editor: 'operator',
      atMs: Date.now(),
      changes: cluster.createConfiguration(),
    },
    {rebase: true, deadline: cluster.platform.clock.now() + 1_000},
  );
  await cluster.store.configure({down: false});
  return result.isErr();
}
