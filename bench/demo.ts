/**
 * The demo: eight daemons on loopback carry Parkwise's services while a daemon
 * is replaced and a backend server drains. Exit code 1 when a promise failed.
 */
import {execFile} from 'node:child_process';
import net from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {formatTable} from '../src/cli/text-table.js';
import {Cluster, pause, type ServicePlan} from './cluster.js';
import {imbalanceOf, sumOf} from './measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from './plans.js';

const DAEMONS = 8;
const FLOWS_A_SERVER = 200;
const OPEN_RATE = 800;
const REQUEST_SECONDS = 15;
const SETTLE_MS = 4_000;
const TOOL = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../src/cli/main.js',
);
const run = promisify(execFile);

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Runs the operators' tool and returns what it prints. */
async function tool(cluster: Cluster, ...args: string[]): Promise<string> {
  const {stdout} = await run(process.execPath, [
    TOOL,
    ...args,
    '--config',
    cluster.toolSettings,
  ]);
  return stdout.trim();
}

/** Sends a line through a daemon's stream entry; resolves with the echo. */
function echo(address: string, line: string): Promise<string> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const socket = net.connect({host, port: Number(port)}, () =>
      socket.end(line),
    );
    let answer = '';
    socket.on('data', bytes => {
      answer += bytes.toString();
    });
    socket.on('end', () => resolve(answer));
    socket.on('error', reject);
  });
}

async function main(): Promise<void> {
  const keep = process.argv.includes('--keep');
  const services = [METERPAY, HANDHELD];
  say(`starting ${DAEMONS} daemons, 13 backend servers and the platform ...`);
  const cluster = await Cluster.create({
    daemons: DAEMONS,
    domains: PARKWISE_DOMAINS,
    services,
    seed: 1,
  });
  const failures: string[] = [];
  await applyWithTool(cluster);
  await tryStream(cluster, failures);
  await openFlows(cluster, services);
  await startRequests(cluster, services);
  await replaceDaemon(cluster, failures);
  await drainServer(cluster);
  await pause(SETTLE_MS);
  await finishRequests(cluster);
  await printResults(cluster, services, failures);
  if (keep) {
    await stayUp(cluster);
  }
  await cluster.close();
  failures.forEach(failure => say(`FAILED: ${failure}`));
  say(
    failures.length === 0 ? 'every promise was kept' : 'a promise was broken',
  );
  process.exit(failures.length === 0 ? 0 : 1);
}

async function applyWithTool(cluster: Cluster): Promise<void> {
  say('weldyard apply --wait (templates and workspace parameters):');
  say(
    `  ${await tool(cluster, 'apply', '--wait', ...cluster.configurationFiles)}`,
  );
}

async function tryStream(cluster: Cluster, failures: string[]): Promise<void> {
  const [first] = [...cluster.daemons.values()];
  const answer = await echo(first.stream, 'hello over TCP');
  say(`a TCP connection through ${first.id}: sent and got back "${answer}"`);
  if (answer !== 'hello over TCP') {
    failures.push('the TCP connection was not carried whole');
  }
}

async function openFlows(
  cluster: Cluster,
  services: readonly ServicePlan[],
): Promise<void> {
  say('opening long flows through the spraying fabric ...');
  await cluster.fabric.turn({reorder: 0.02, duplicate: 0.01});
  const report = await cluster.openFlows(
    services.map(plan => ({
      service: `${plan.workspace}/${plan.service}`,
      address: plan.address,
      count: plan.servers * FLOWS_A_SERVER,
      rate: OPEN_RATE,
    })),
  );
  const flows = report.services.reduce((sum, {flows: own}) => sum + own, 0);
  say(`  ${flows} flows are open; 2% of packets reordered, 1% duplicated`);
}

async function startRequests(
  cluster: Cluster,
  services: readonly ServicePlan[],
): Promise<void> {
  say(`sending requests for ${REQUEST_SECONDS} s ...`);
  await Promise.all(
    services.map(plan =>
      cluster.sendRequests({
        workspace: plan.workspace,
        service: plan.service,
        repeatable: plan.repeatable,
        rate: 100,
        seconds: REQUEST_SECONDS,
        deadlineMs: 5_000,
        duplicates: 0.05,
      }),
    ),
  );
}

async function replaceDaemon(
  cluster: Cluster,
  failures: string[],
): Promise<void> {
  const [first] = [...cluster.daemons.values()];
  const fresh = cluster.startDaemon(first.domain);
  await cluster.waitReady();
  say(`${fresh.id} joined; stopping ${first.id} in the planned way ...`);
  const code = await cluster.stopDaemon(first.id);
  say(`  ${first.id} left with exit code ${code}`);
  if (code !== 0) {
    failures.push(`${first.id} did not stop cleanly`);
  }
}

async function drainServer(cluster: Cluster): Promise<void> {
  const [server] = cluster.serversOf('parkwise/meterpay');
  await cluster.backend(server, {draining: true});
  say(`backend server ${server} drains; opening more flows meanwhile ...`);
  await pause(3_000);
  await cluster.openFlows([
    {
      service: 'parkwise/meterpay',
      address: METERPAY.address,
      count: 400,
      rate: 400,
    },
  ]);
}

async function finishRequests(cluster: Cluster): Promise<void> {
  await cluster.waitUntil('requests have ended', async () => {
    const {pending, reports} = await cluster.requests();
    const sent = reports.reduce((sum, {requests}) => sum + requests, 0);
    return pending === 0 && sent >= REQUEST_SECONDS * 2 * 100;
  });
}

async function printResults(
  cluster: Cluster,
  services: readonly ServicePlan[],
  failures: string[],
): Promise<void> {
  const flows = await cluster.flows();
  const requests = await cluster.requests();
  const rows = await Promise.all(
    services.map(async plan => {
      const name = `${plan.workspace}/${plan.service}`;
      const backends = await cluster.backendReports(name);
      const flow = flows.services.find(({service}) => service === name);
      const request = requests.reports.find(
        ({service}) => service === plan.service,
      );
      const broken = flow?.states['broken'] ?? 0;
      const misrouted = sumOf(backends, report => report.misrouted);
      const doubleRuns = sumOf(backends, report => report.doubleRuns);
      const lateOpens = Math.max(
        0,
        ...backends.map(report => report.latestOpenAfterDrainMs),
      );
      check(broken === 0, `${name}: ${broken} broken flows`, failures);
      check(misrouted === 0, `${name}: ${misrouted} misrouted`, failures);
      check(
        plan.repeatable || doubleRuns === 0,
        `${name}: ${doubleRuns} double runs`,
        failures,
      );
      check(
        (request?.wrongAnswers ?? 0) + (request?.partialAnswers ?? 0) === 0,
        `${name}: wrong or partial answers`,
        failures,
      );
      check(
        lateOpens <= 3_000,
        `${name}: a flow opened ${lateOpens} ms after the drain`,
        failures,
      );
      const imbalance = imbalanceOf(
        backends.map(report => report.opened),
      ).maxOverMean;
      return [
        name,
        String(flow?.flows ?? 0),
        String(broken),
        String(misrouted),
        String(request?.answered ?? 0),
        String(request?.notRun ?? 0),
        String(request?.unknown ?? 0),
        String(doubleRuns),
        imbalance.toFixed(3),
      ];
    }),
  );
  say('');
  say(
    formatTable([
      [
        'service',
        'flows',
        'broken',
        'misrouted',
        'answered',
        'not run',
        'unknown',
        'double runs',
        'opens max/mean',
      ],
      ...rows,
    ]),
  );
  say('');
  say(await tool(cluster, 'status'));
}

function check(holds: boolean, failure: string, failures: string[]): void {
  if (!holds) {
    failures.push(failure);
  }
}

async function stayUp(cluster: Cluster): Promise<void> {
  say('');
  say(`weldyard --config ${cluster.toolSettings} status`);
  cluster.daemons.forEach(({id, stream, requests}) =>
    say(`${id}: curl http://${stream}/   requests (gRPC) at ${requests}`),
  );
  say('running until interrupted');
  await new Promise<void>(resolve => process.once('SIGINT', resolve));
}

main().catch(error => {
  process.stderr.write(`${String(error)}\n`);
  process.exit(1);
});
