/**
 * The common part of two cases: long flows with pauses, a disruption, and a release: servers
 * are replaced one after the other, the new one starts first, and the old one leaves as
 * planned without ever saying "draining". Judges rule FLOW (a): while its server lives, a
 * client with an open flow gets a reset that the flow's server didn't send.
 */
import path from 'node:path';
import {CONTACT_MS, DRAIN_MS, Platform, now, sleep} from './platform.mjs';

/** Traffic starts this long after the machines. */
const TRAFFIC_AT_MS = 12_000;
const SERVERS = 10;
const FLOWS = 120;
const PAUSE_MS = 7_000;
/** Servers that are replaced, and the pause between two of them. */
const RELEASED = 4;
const RELEASE_GAP_MS = 1_000;
/** How long a server serves on after the drain time: "at times many seconds". */
const EXTRA_MS = 6_000;
const DEADLINE_MS = 1_500;

const ROUTE = {name: 'r-feed', host: '127.0.50.1', port: 8443, type: 'safe', service: 'meterpay', method: 'GET'};

function describeServer(number) {
  return {id: `i-9046ff5${number.toString(16).padStart(3, '0')}`, service: 'meterpay', zone: number % 2 === 0 ? 'hall-a' : 'hall-b'};
}

/** Keeps one flow: a request, a pause, and again; a new flow when it has ended. */
async function useFlow(platform, sport, isOver) {
  await sleep(Math.random() * PAUSE_MS);
  let port = sport;
  while (!isOver()) {
    const flow = platform.newFlow(port, ROUTE);
    while (flow.state === 'opening') await sleep(5);
    while (flow.state === 'open' && !isOver()) {
      const [outcome] = (await flow.request(DEADLINE_MS)).split(' ');
      platform.outcomes[outcome] = (platform.outcomes[outcome] ?? 0) + 1;
      if (outcome === 'deadline') break;
      await sleep(PAUSE_MS);
    }
    port += FLOWS;
  }
}

/** Replaces servers one after the other. */
async function release(platform) {
  const leaving = platform.servers.slice(0, RELEASED);
  for (const server of leaving) {
    await platform.addServer(describeServer(platform.servers.length + 1));
    server.leaveUnannounced(DRAIN_MS + EXTRA_MS);
    await sleep(RELEASE_GAP_MS);
  }
}

/** Runs the case; `disrupt` plays the disruption and calls `beginRelease` once. */
export async function runLeaveCase(folder, disrupt) {
  const hasTrouble = process.env['TROUBLE'] !== '0';
  const platform = new Platform(folder, path.resolve(folder, '../..'));
  const {record} = platform;
  platform.outcomes = {};
  record.add(`case: trouble ${hasTrouble ? 'on' : 'off'}`);
  await platform.start({
    daemonZones: ['hall-a', 'hall-a', 'hall-b', 'hall-b'],
    servers: Array.from({length: SERVERS}, (_, i) => describeServer(i + 1)),
    spareServers: RELEASED,
    routes: [ROUTE],
    services: ['meterpay'],
  });
  await sleep(TRAFFIC_AT_MS);
  if (platform.daemons.some(({isIn}) => !isIn)) {
    record.add('case: not every daemon is ready');
    await platform.close(2);
  }
  let isOver = false;
  const users = Array.from({length: FLOWS}, (_, i) => useFlow(platform, 1_024 + i, () => isOver));
  await sleep(PAUSE_MS + 1_000);
  let released;
  await disrupt({platform, sleep, hasTrouble, beginRelease: () => (released = release(platform))});
  await released;
  await sleep(DRAIN_MS + EXTRA_MS + 500);
  isOver = true;
  await Promise.all(users);
  const broken = platform.resets.filter(({at, isOwn, serverLives}) => at >= platform.judgedFrom && !isOwn && serverLives);
  record.add(`case: outcomes ${JSON.stringify(platform.outcomes)}; servers got ${platform.servers.reduce((sum, {forged}) => sum + forged, 0)} forged packets`);
  record.add(`case: ${broken.length} open flows reset by a daemon while their server lived; drain time ${DRAIN_MS} ms, contact ${CONTACT_MS} ms`);
  const code = (platform.outcomes['answered'] ?? 0) < FLOWS ? 2 : broken.length > 0 ? 1 : 0;
  record.add(`case: ${code === 1 ? 'FLOW broken' : code === 0 ? 'FLOW held' : 'not enough requests were answered'}`);
  await platform.close(code);
}
