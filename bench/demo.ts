/**
 * Runs eight daemons on loopback while a daemon is replaced and a backend server
 * drains. Exits with 1 when a flow or request fails; `--keep` leaves it running.
 */
import {execFile} from 'node:child_process';
import net from 'node:net';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {formatTable} from '../src/cli/text-table.js';
import {Cluster, pause, type ServicePlan} from './cluster.js';
import {computeImbalance, sumReports} from './measures.js';
import {HANDHELD, METERPAY, PARKWISE_DOMAINS} from './plans.js';

const DAEMONS = 8;
const FLOWS_PER_SERVER = 200;
const OPENS_PER_SECOND = 800;
const REQUEST_SECONDS = 15;
const SETTLE_MS = 4_000;
const CLI_PATH = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../src/cli/main.js',
);
const run = promisify(execFile);

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Runs the `weldyard` command line and returns its output. */
async function runCli(cluster: Cluster, ...args: string[]): Promise<string> {
  const {stdout} = await run(process.execPath, [
    CLI_PATH,
    ...args,
    '--config',
    cluster.cliSettingsFile,
  ]);
  return stdout.trim();
}

/** Sends a line over TCP through a daemon; resolves with the echoed text. */
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
  const keepRunning = process.argv.includes('--keep');
  const services = [METERPAY, HANDHELD];
  print(
    `starting ${DAEMONS} daemons, 13 backend servers and the emulated platform ...`,
  );
  const cluster = await Cluster.create({
    daemons: DAEMONS,
    domains: PARKWISE_DOMAINS,
    services,
    seed: 1,
  });
  const failures: string[] = [];
  await applyWithCli(cluster);
  await checkStream(cluster, failures);
  await openFlows(cluster, services);
  await startRequests(cluster, services);
  await replaceDaemon(cluster, failures);
  await drainServer(cluster);
  await pause(SETTLE_MS);
  await finishRequests(cluster);
  await printResults(cluster, services, failures);
  if (keepRunning) {
    await waitForInterrupt(cluster);
  }
  await cluster.close();
  failures.forEach(failure => print(`FAILED: ${failure}`));
  print(
    failures.length === 0 ? 'every promise was kept' : 'a promise was broken',
  );
  process.exit(failures.length === 0 ? 0 : 1);
}

async function applyWithCli(cluster: Cluster): Promise<void> {
  print('weldyard apply --wait (templates and workspace parameters):');
  print(
    `  ${await runCli(cluster, 'apply', '--wait', ...cluster.configurationFiles)}`,
  );
}

async function checkStream(
  cluster: Cluster,
  failures: string[],
): Promise<void> {
  const [first] = [...cluster.daemons.values()];
  const answer = await echo(first.stream, 'hello over TCP');
  print(`a TCP connection through ${first.id}: sent and got back "${answer}"`);
  if (answer !== 'hello over TCP') {
    failures.push(
      `the TCP connection echoed "${answer}" instead of "hello over TCP"`,
    );
  }
}

async function openFlows(
  cluster: Cluster,
  services: readonly ServicePlan[],
): Promise<void> {
  print(
    'opening long-lived flows; the fabric sends each packet to any daemon ...',
  );
  await cluster.fabric.configure({reorder: 0.02, duplicate: 0.01});
  const report = await cluster.openFlows(
    services.map(plan => ({
      service: `${plan.workspace}/${plan.service}`,
      address: plan.address,
      count: plan.servers * FLOWS_PER_SERVER,
      rate: OPENS_PER_SECOND,
    })),
  );
  const flows = report.services.reduce((sum, {flows: own}) => sum + own, 0);
  print(`  ${flows} flows are open; 2% of packets reordered, 1% duplicated`);
}

async function startRequests(
  cluster: Cluster,
  services: readonly ServicePlan[],
): Promise<void> {
  print(`sending requests for ${REQUEST_SECONDS} s ...`);
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
  const replacement = cluster.startDaemon(first.domain);
  await cluster.waitReady();
  print(`${replacement.id} joined; stopping ${first.id} with SIGTERM ...`);
  const code = await cluster.stopDaemon(first.id);
  print(`  ${first.id} exited with code ${code}`);
  if (code !== 0) {
    failures.push(`${first.id} stopped with exit code ${code}`);
  }
}

async function drainServer(cluster: Cluster): Promise<void> {
  const [server] = cluster.listServers('parkwise/meterpay');
  await cluster.controlBackend(server, {draining: true});
  print(`draining backend server ${server} and opening more flows ...`);
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
  await cluster.waitFor('requests have ended', async () => {
    const {pending, reports} = await cluster.readRequestReports();
    const sent = reports.reduce((sum, {requests}) => sum + requests, 0);
    return pending === 0 && sent >= REQUEST_SECONDS * 2 * 100;
  });
}

async function printResults(
  cluster: Cluster,
  services: readonly ServicePlan[],
  failures: string[],
): Promise<void> {
  const flows = await cluster.controlFlowCallers();
  const requests = await cluster.readRequestReports();
  const rows = await Promise.all(
    services.map(async plan => {
      const name = `${plan.workspace}/${plan.service}`;
      const backends = await cluster.readBackendReports(name);
      const flow = flows.services.find(({service}) => service === name);
      const request = requests.reports.find(
        ({service}) => service === plan.service,
      );
      const broken = flow?.states['broken'] ?? 0;
      const misrouted = sumReports(backends, report => report.misrouted);
      const doubleRuns = sumReports(backends, report => report.doubleRuns);
      const latestOpenMs = Math.max(
        0,
        ...backends.map(report => report.latestOpenAfterDrainMs),
      );
      recordFailureUnless(
        broken === 0,
        `${name}: ${broken} broken flows`,
        failures,
      );
      recordFailureUnless(
        misrouted === 0,
        `${name}: ${misrouted} misrouted packets`,
        failures,
      );
      recordFailureUnless(
        plan.repeatable || doubleRuns === 0,
        `${name}: ${doubleRuns} requests ran more than once`,
        failures,
      );
      recordFailureUnless(
        (request?.wrongAnswers ?? 0) + (request?.partialAnswers ?? 0) === 0,
        `${name}: wrong or partial answers`,
        failures,
      );
      recordFailureUnless(
        latestOpenMs <= 3_000,
        `${name}: a flow opened ${latestOpenMs} ms after the drain began`,
        failures,
      );
      const imbalance = computeImbalance(
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
  print('');
  print(
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
  print('');
  print(await runCli(cluster, 'status'));
}

function recordFailureUnless(
  holds: boolean,
  failure: string,
  failures: string[],
): void {
  if (!holds) {
    failures.push(failure);
  }
}

async function waitForInterrupt(cluster: Cluster): Promise<void> {
  print('');
  print(`weldyard --config ${cluster.cliSettingsFile} status`);
  cluster.daemons.forEach(({id, stream, requests}) =>
    print(`${id}: curl http://${stream}/   requests (gRPC) at ${requests}`),
  );
  print('running until interrupted');
  await new Promise<void>(resolve => process.once('SIGINT', resolve));
}

main().catch(error => {
  process.stderr.write(`${String(error)}\n`);
  process.exit(1);
});
