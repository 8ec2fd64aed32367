/**
 * A small platform on loopback for the cases of this review: the metadata store, the
 * readiness router of one zone, servers, and one client host. It speaks what the users'
 * pages say and starts the daemon as `deploy/system.toml` runs it.
 */
import {spawn} from 'node:child_process';
import {createHash} from 'node:crypto';
import dgram from 'node:dgram';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
const started = process.hrtime.bigint();
/** Milliseconds since this program started. */
export const now = () => Number(process.hrtime.bigint() - started) / 1e6;

export const SYN = 1;
export const ACK = 8;
export const FIN = 32;
export const RST = 128;
const HEAD = 32;
const BOUNDS = {
  seed_lag_s: 3, reuse_after_s: 2, contact_ms: 4000, ack_ms: 5000, catch_up_s: 4,
  drain_ms: 3000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 3000,
  downgrade_slack_ms: 250, max_stretch_ms: 12000, recovery_s: 12, reorder_ms: 2000,
  flow_max_s: 60,
};
export const DRAIN_MS = BOUNDS.drain_ms;
export const CONTACT_MS = BOUNDS.contact_ms;
export const CONFIG_APPLY_MS = BOUNDS.config_apply_ms;
const HEARTBEAT_MS = 770;
/** The store takes this long for an answer. */
const ANSWER_MS = 4;

/** The record of a run, written to record.txt of the case. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.lines = [];
  }
  add(text) {
    this.lines.push(`${(now() / 1000).toFixed(3).padStart(8)} ${text}`);
  }
  write() {
    fs.writeFileSync(this.file, this.lines.join('\n') + '\n');
  }
}

function ip(text) {
  return text.split('.').reduce((sum, part) => sum * 256 + Number(part), 0);
}

/** A sum with a key that the daemons are not told; never 0. */
function sumOf(bytes) {
  const covered = Buffer.from(bytes);
  covered.writeUInt16BE(0, 2);
  covered.writeUInt32BE(0, 6);
  covered[22] &= ~2;
  covered[23] = 0;
  const digest = createHash('sha1').update('key of the day').update(covered).digest();
  return digest.readUInt16BE(0) || 1;
}

export function encode({src, sport, dst, dport, flags, seq, ack, echo, data = Buffer.alloc(0)}) {
  const bytes = Buffer.alloc(HEAD + data.length);
  bytes.writeUInt16BE(data.length, 0);
  bytes.writeUInt32BE(echo >>> 0, 6);
  bytes.writeUInt32BE(ip(dst), 10);
  bytes.writeUInt16BE(dport, 14);
  bytes.writeUInt32BE(ip(src), 16);
  bytes.writeUInt16BE(sport, 20);
  bytes[22] = flags;
  bytes.writeUInt32BE(seq >>> 0, 24);
  bytes.writeUInt32BE(ack >>> 0, 28);
  data.copy(bytes, HEAD);
  bytes.writeUInt16BE(sumOf(bytes), 2);
  return bytes;
}

export function decode(bytes) {
  const text = offset => [0, 1, 2, 3].map(i => bytes[offset + i]).join('.');
  return {
    sum: bytes.readUInt16BE(2),
    isGenuine: bytes.readUInt16BE(2) === sumOf(bytes),
    echo: bytes.readUInt32BE(6),
    dst: text(10),
    dport: bytes.readUInt16BE(14),
    src: text(16),
    sport: bytes.readUInt16BE(20),
    flags: bytes[22],
    seq: bytes.readUInt32BE(24),
    ack: bytes.readUInt32BE(28),
    data: bytes.subarray(HEAD),
  };
}

/** The metadata store: linearizable reads, watches, conditional writes, silent outages. */
export class Store {
  constructor(record) {
    this.record = record;
    this.revision = 10;
    this.items = new Map();
    this.events = [];
    this.waiting = new Set();
    this.isSilent = false;
    this.sockets = new Set();
  }
  async listen(host, port) {
    this.server = http.createServer((request, response) => this.handle(request, response));
    this.server.keepAliveTimeout = 0;
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }
  put(key, value) {
    this.revision += 1;
    const known = this.items.get(key);
    const item = {
      key,
      value: Buffer.isBuffer(value) ? value.toString('base64') : Buffer.from(JSON.stringify(value)).toString('base64'),
      revision: this.revision,
      create_rev: known?.create_rev ?? this.revision,
      lease: 0,
    };
    this.items.set(key, item);
    this.add(item);
    return this.revision;
  }
  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.add({key, revision: this.revision, tombstone: true});
    return this.revision;
  }
  add(event) {
    this.events.push(event);
    [...this.waiting].forEach(wake => wake());
  }
  /** From now on nothing is answered; connections that lose an answer stay mute. */
  silence() {
    this.isSilent = true;
    this.record.add('store: silent');
  }
  restore() {
    this.isSilent = false;
    this.record.add('store: back');
  }
  async handle(request, response) {
    const {socket} = request;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    if (this.isSilent || socket.isMute) {
      socket.isMute = true;
      return;
    }
    const url = new URL(request.url, 'http://store');
    socket.isWatching = url.pathname === '/kv-watch' && Number(url.searchParams.get('wait_ms')) > 0;
    const [status, body] = await this.answer(url, request.method, Buffer.concat(chunks));
    if (this.isSilent || socket.isMute || socket.destroyed) {
      socket.isMute = true;
      return;
    }
    socket.isWatching = false;
    const text = JSON.stringify(body);
    response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
    response.end(text);
  }
  async answer(url, method, body) {
    const q = url.searchParams;
    await sleep(ANSWER_MS);
    const prefix = q.get('path_prefix') ?? '';
    if (method === 'GET' && url.pathname === '/kv-range') {
      const after = q.get('after') ?? '';
      const all = [...this.items.values()]
        .filter(({key}) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      return [200, {items: all, more_pages: false, store_revision: this.revision}];
    }
    if (method === 'GET' && url.pathname === '/kv-key') {
      const item = this.items.get(q.get('key'));
      return item === undefined ? [404, {}] : [200, {...item, store_revision: this.revision}];
    }
    if (method === 'GET' && url.pathname === '/kv-watch') {
      const after = Number(q.get('after'));
      const pick = () => this.events.filter(({key, revision}) => revision > after && key.startsWith(prefix));
      if (pick().length === 0) {
        await new Promise(resolve => {
          const finish = () => {
            if (pick().length === 0 && now() < until) return;
            clearTimeout(timer);
            this.waiting.delete(finish);
            resolve();
          };
          const until = now() + Number(q.get('wait_ms'));
          const timer = setTimeout(() => {
            this.waiting.delete(finish);
            resolve();
          }, Number(q.get('wait_ms')));
          this.waiting.add(finish);
        });
      }
      return [200, {events: pick(), store_revision: this.revision}];
    }
    if (method === 'POST' && url.pathname === '/kv-txn') {
      const {expected_rev = [], set_keys = [], remove = []} = JSON.parse(body.toString());
      const holds = expected_rev.every(({key, revision}) => (this.items.get(key)?.revision ?? 0) === revision);
      if (!holds) {
        return [412, {items: expected_rev.flatMap(({key}) => this.items.get(key) ?? [])}];
      }
      set_keys.forEach(({key, value}) => this.put(key, Buffer.from(value, 'base64')));
      remove.forEach(key => this.remove(key));
      return [200, {revision: this.revision}];
    }
    return [404, {}];
  }
  /** Open connections go silent for good, without a reset; new ones work. */
  silenceConnections() {
    this.sockets.forEach(socket => {
      socket.isMute = true;
    });
    this.record.add(`store: ${this.sockets.size} open connections go silent for good; new ones work`);
  }
  /** Returns the callers' ports of the connections on which a watch waits. */
  watchingPorts() {
    return [...this.sockets].filter(({isWatching}) => isWatching).map(({remotePort}) => remotePort);
  }
  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A server: takes flows, answers requests one by one, keeps its entry in the store. */
export class Server {
  constructor(platform, {id, service, zone, address, workMs}) {
    Object.assign(this, {platform, id, service, zone, address, workMs});
    this.name = BigInt(`0x${id.slice(id.indexOf('-') + 1)}`);
    this.flows = new Map();
    this.hasEnded = false;
    this.isLeaving = false;
    this.ran = [];
    this.forged = 0;
  }
  async start() {
    const {serverPort} = this.platform.ports;
    this.socket = dgram.createSocket('udp4');
    this.socket.on('message', bytes => this.receive(bytes));
    await new Promise(resolve => this.socket.bind(serverPort, this.address, resolve));
    this.health = http.createServer((_request, response) => response.writeHead(200, {'x-instance-id': this.id}).end());
    await new Promise(resolve => this.health.listen(serverPort, this.address, resolve));
    this.write('ready');
  }
  /** A heartbeat that changes nothing but `call_seq` does not change the entry. */
  write(state) {
    this.platform.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `${this.address}:${this.platform.ports.serverPort}`,
      zone: this.zone,
      version: 'v1',
      slots: 3,
      state,
      cold_remaining_ms: 0,
      call_seq: 1,
    });
  }
  /** Leaves as planned without ever saying "draining": the entry goes, it serves on. */
  leaveUnannounced(forMs) {
    this.platform.store.remove(`servers/${this.id}`);
    this.isLeaving = true;
    this.platform.record.add(`server ${this.id}: entry removed at revision ${this.platform.store.revision}; serves on for ${forMs} ms`);
    setTimeout(() => this.end(), forMs).unref();
  }
  end() {
    if (!this.hasEnded) {
      this.hasEnded = true;
      this.platform.record.add(`server ${this.id}: ended`);
      this.socket.close();
      this.health.close();
      this.health.closeAllConnections();
    }
  }
  receive(bytes) {
    const named = bytes.readBigUInt64BE(0);
    if (named !== 0n && named !== this.name) return;
    const packet = decode(bytes.subarray(8));
    if (!packet.isGenuine) {
      this.forged += 1;
      return;
    }
    const key = `${packet.src}:${packet.sport}>${packet.dst}:${packet.dport}`;
    const flow = this.flows.get(key);
    if (packet.flags & SYN) {
      const held = flow ?? {key, echo: 0, seq: Math.floor(Math.random() * 2 ** 31), next: packet.seq + 1, isOpen: false, answers: new Map()};
      this.flows.set(key, held);
      held.echo = packet.echo;
      this.send(packet, held, SYN | ACK, held.seq, packet.seq + 1);
      return;
    }
    if (flow === undefined) {
      if (!(packet.flags & RST)) this.send(packet, {echo: packet.echo}, RST, packet.ack, packet.seq);
      return;
    }
    flow.echo = packet.echo;
    if (packet.flags & RST) {
      this.flows.delete(key);
      return;
    }
    if (!flow.isOpen) {
      if (packet.ack !== ((flow.seq + 1) >>> 0)) {
        this.send(packet, flow, RST, packet.ack, packet.seq);
        return;
      }
      flow.isOpen = true;
      flow.sent = flow.seq + 1;
    }
    if (packet.flags & FIN) {
      this.send(packet, flow, FIN | ACK, flow.sent, packet.seq + 1);
      return;
    }
    if (packet.data.length > 0) this.request(packet, flow);
  }
  request(packet, flow) {
    const known = flow.answers.get(packet.seq);
    if (known !== undefined) {
      if (known.data !== undefined) this.send(packet, flow, known.flags, known.seq, known.ack, known.data);
      return;
    }
    const id = /X-Request-Id: (\S+)/.exec(packet.data.toString())?.[1];
    const entry = {};
    flow.answers.set(packet.seq, entry);
    this.ran.push(id);
    this.platform.record.add(`server ${this.id}: runs ${id}`);
    this.send(packet, flow, ACK, flow.sent, packet.seq + packet.data.length);
    setTimeout(() => {
      if (this.hasEnded) return;
      const body = `done ${id} by ${this.id}`;
      const closes = this.isLeaving;
      const text = `HTTP/1.1 200 OK\r\nX-Server-Stamp: ${this.id}\r\nX-Request-Id: ${id}\r\n${closes ? 'Connection: close\r\n' : ''}Content-Length: ${body.length}\r\n\r\n${body}`;
      Object.assign(entry, {flags: ACK | (closes ? FIN : 0), seq: flow.sent, ack: packet.seq + packet.data.length, data: Buffer.from(text)});
      flow.sent += entry.data.length + (closes ? 1 : 0);
      this.send(packet, flow, entry.flags, entry.seq, entry.ack, entry.data);
    }, this.workMs).unref();
  }
  send(to, {echo}, flags, seq, ack, data) {
    const bytes = encode({src: to.dst, sport: to.dport, dst: to.src, dport: to.sport, flags, seq, ack, echo, data});
    this.socket.send(bytes, this.platform.ports.datagrams, to.src);
  }
}

/** A flow of the client: opens, sends requests with pauses, judges what it receives. */
export class Flow {
  constructor(platform, sport, route) {
    Object.assign(this, {platform, sport, route});
    this.state = 'new';
    this.echo = 0;
    this.seq = Math.floor(Math.random() * 2 ** 31);
    this.requests = 0;
    this.pending = undefined;
  }
  send(flags, seq, ack, data) {
    const {client} = this.platform;
    const {host, port} = this.route;
    const bytes = encode({src: client.address, sport: this.sport, dst: host, dport: port, flags, seq, ack, echo: flags & SYN ? 0 : this.echo, data});
    this.platform.toDaemon(this, bytes);
  }
  open() {
    this.state = 'opening';
    [0, 200, 600].forEach((delay, copy) =>
      setTimeout(() => this.state === 'opening' && this.send(SYN, this.seq, copy), delay),
    );
    setTimeout(() => {
      if (this.state === 'opening') this.state = 'failed';
    }, 1400);
  }
  /** Sends a request; resolves with how it ended. */
  request(limitMs) {
    this.requests += 1;
    const id = `${this.sport}-${this.requests}`;
    const data = Buffer.from(`${this.route.method} / HTTP/1.1\r\nHost: ${this.route.host}\r\nX-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
    this.platform.record.add(`client ${this.sport}: sends ${id} (flow at ${this.server?.id})`);
    return new Promise(resolve => {
      const finish = outcome => {
        if (this.pending?.finish !== finish) return;
        this.pending = undefined;
        this.platform.record.add(`client ${this.sport}: ${id} ${outcome}`);
        resolve(outcome);
      };
      this.pending = {finish, id};
      const seq = this.seq;
      this.seq += data.length;
      const resend = wait => {
        if (this.pending?.finish !== finish) return;
        this.send(ACK, seq, this.ack, data);
        setTimeout(() => resend(Math.min(1600, wait * 2)), wait);
      };
      resend(200);
      setTimeout(() => finish('deadline'), limitMs);
    });
  }
  /** Closes an open flow without a pending request. */
  finish() {
    if (this.state === 'open') {
      this.state = 'ended';
      this.send(FIN | ACK, this.seq, this.ack);
    }
  }
  receive(packet, from) {
    if (this.state === 'ended' || this.state === 'failed') return;
    const server = this.platform.servers.find(({address}) => address === from);
    if (packet.flags & RST) {
      this.onReset(packet, from, server);
      return;
    }
    if (!packet.isGenuine || server === undefined) return;
    if (packet.flags & SYN) {
      if (this.state === 'opening') {
        this.state = 'open';
        this.server = server;
        this.echo = packet.echo;
        this.seq += 1;
        this.ack = packet.seq + 1;
        this.openedAt = now();
        this.send(ACK, this.seq, this.ack);
      }
      return;
    }
    if (server !== this.server) return;
    this.echo = packet.echo;
    if (packet.data.length > 0 && packet.seq === this.ack >>> 0) {
      this.ack += packet.data.length + (packet.flags & FIN ? 1 : 0);
      this.send(packet.flags & FIN ? FIN | ACK : ACK, this.seq, this.ack);
      if (packet.flags & FIN) this.state = 'ended';
      const text = packet.data.toString();
      const isWhole = text.includes(`X-Request-Id: ${this.pending?.id}\r\n`) && text.includes(`X-Server-Stamp: ${this.server.id}`);
      this.pending?.finish(isWhole ? `answered by ${this.server.id}` : 'answered wrongly');
    }
  }
  /** An open flow takes a reset only with a `seq` within 76,800 of its last `ack`. */
  onReset(packet, from, server) {
    const distance = Math.abs((packet.seq >>> 0) - ((this.ack ?? 0) >>> 0));
    const isTaken = this.state === 'opening' || distance <= 76_800;
    if (!isTaken) return;
    const wasOpen = this.state === 'open';
    this.state = 'ended';
    if (wasOpen) {
      this.platform.resets.push({at: now(), flow: this, from, isOwn: server === this.server, serverLives: !this.server.hasEnded, pending: this.pending?.id});
      this.platform.record.add(
        `client ${this.sport}: open flow at ${this.server.id} reset by ${server === undefined ? `daemon ${this.platform.daemonAt(from)}` : server.id}; ` +
          `its server ${this.server.hasEnded ? 'has ended' : 'lives'}; pending: ${this.pending?.id ?? 'nothing'}`,
      );
    }
    this.pending?.finish(`reset by ${from}`);
  }
}

/** Fills a settings template as DEPLOY.md describes: values, lists and tables. */
function fill(template, fields) {
  const look = (name, stack) => {
    if (name === '.') return stack[0];
    for (const scope of [...stack, fields]) {
      const value = name.split('.').reduce((v, part) => (v === null || typeof v !== 'object' ? undefined : v[part]), scope);
      if (value !== undefined) return value;
    }
    return undefined;
  };
  const show = value => (value === undefined || value === null ? '' : Array.isArray(value) ? value.join(',') : typeof value === 'object' ? JSON.stringify(value) : String(value));
  const render = (text, stack) =>
    text
      .replace(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_all, name, inner) => {
        const value = look(name, stack);
        return Object.entries(value ?? {})
          .map(([key, entry]) => render(inner.replaceAll('{{@}}', key), [entry, ...stack]))
          .join('');
      })
      .replace(/\{\{([\w.]+)\}\}/g, (_all, name) => show(look(name, stack)));
  return render(template, []);
}

async function findPorts(addresses, count) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const base = 20_000 + Math.floor(Math.random() * 10_000);
    const free = await Promise.all(
      Array.from({length: count}, (_, i) => base + i).flatMap(port => addresses.map(address => isFree(address, port))),
    );
    if (free.every(Boolean)) return base;
  }
  throw new Error('no free ports');
}

function isFree(address, port) {
  const tcp = new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, address, () => server.close(() => resolve(true)));
  });
  const udp = new Promise(resolve => {
    const socket = dgram.createSocket('udp4');
    socket.once('error', () => resolve(false));
    socket.bind(port, address, () => socket.close(() => resolve(true)));
  });
  return Promise.all([tcp, udp]).then(each => each.every(Boolean));
}

/** All parts of one run. */
export class Platform {
  constructor(folder, root) {
    this.root = root;
    this.record = new Record(folder);
    this.store = new Store(this.record);
    this.storeHost = '127.0.40.1';
    this.client = {address: '127.0.45.1', zone: 'hall-a'};
    this.daemons = [];
    this.servers = [];
    this.flows = new Map();
    this.resets = [];
    /** From when on the machines are in touch and resets count; set after a disruption. */
    this.judgedFrom = -Infinity;
    this.isClosed = false;
    this.temp = fs.mkdtempSync(path.join(os.tmpdir(), 'weldyard-review-'));
    ['SIGTERM', 'SIGINT'].forEach(signal => process.on(signal, () => void this.close(2)));
    process.on('uncaughtException', error => {
      this.record.add(`case: ${error.stack}`);
      void this.close(2);
    });
  }
  async start({daemonZones, servers, spareServers = 0, routes, services}) {
    const daemons = daemonZones.map((zone, i) => ({name: `front-${zone}-${i + 1}`, zone, address: `127.0.41.${i + 1}`, isIn: false, misses: 0, life: 0}));
    const serverAddresses = Array.from({length: servers.length + spareServers}, (_, i) => `127.0.43.${i + 1}`);
    const addresses = [...daemons.map(({address}) => address), ...serverAddresses, this.client.address, this.storeHost];
    const base = await findPorts(addresses, 7);
    this.ports = {datagrams: base, readiness: base + 1, control: base + 2, internal: base + 3, serverPort: base + 5, store: base + 6};
    await this.store.listen(this.storeHost, this.ports.store);
    this.putConfig(3, routes, services);
    for (const server of servers) await this.addServer(server);
    this.clientSocket = dgram.createSocket('udp4');
    this.clientSocket.on('message', (bytes, from) => {
      const packet = decode(bytes);
      this.flows.get(packet.dport)?.receive(packet, from.address);
    });
    await new Promise(resolve => this.clientSocket.bind(this.ports.datagrams, this.client.address, resolve));
    this.daemons.push(...daemons);
    daemons.forEach(daemon => this.startDaemon(daemon, true));
    this.checkReadiness();
  }
  /** Writes a configuration; returns when the store has acknowledged it. */
  putConfig(version, routes, services) {
    this.store.put('op/config', {
      version,
      routes: routes.map(({name, host, port, type, service, timeoutMs = 1500}) => ({name, host, path_prefix: `/${port}/`, route_type: type, timeout_ms: timeoutMs, target_latency_ms: 250, priority: 1, service, max_attempts: 2})),
      services: services.map(name => ({name, health_path: '/health', max_conns: 2000, protocol: 'h1', tls: false})),
      limits: {idle_timeout_ms: 12000},
    });
    this.record.add(`operator: configuration ${version} acknowledged`);
    return now();
  }
  /** Starts a server at an address of its own. */
  async addServer(server) {
    const created = new Server(this, {workMs: 50, ...server, address: `127.0.43.${this.servers.length + 1}`});
    this.servers.push(created);
    await created.start();
    this.record.add(`server ${created.id}: started at ${created.address}`);
    return created;
  }
  startDaemon(daemon, isFirstStart = false) {
    const {ports} = this;
    const zones = Object.fromEntries(this.daemons.map(({zone}) => [zone, 'uk-mid']));
    const fields = {
      node_name: daemon.name, role: 'entry', machine_class: 'front', serves: ['front', 'control'], ip: daemon.address, zone: daemon.zone, region: 'uk-mid', zones,
      listen: {datagrams: `${daemon.address}:${ports.datagrams}`, readiness: `${daemon.address}:${ports.readiness}`, control: `${daemon.address}:${ports.control}`},
      internal_ports: [ports.internal, ports.internal + 1],
      seeds: this.daemons.slice(0, 3).map(({address}) => `${address}:${ports.control}`),
      bootstrap: isFirstStart, in_loss_budget: false,
      limits: {cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0},
      data_dir: null, discovery: 'platform', entry: 'announce', heartbeat_ms: HEARTBEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'flows', 'platform'],
      bounds: BOUNDS, hash: 'steady', forwarding: 'echo',
      platform: {address: `${this.storeHost}:${ports.store}`, forwarding: 'kv', writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000},
    };
    const toml = fs.readFileSync(path.join(this.root, 'deploy/system.toml'), 'utf8');
    const [program, ...words] = /^run = "(.*)"$/m.exec(toml)[1].split(' ');
    const template = /^template = "(.*)"$/m.exec(toml)[1];
    const file = path.join(this.temp, `${daemon.name}.ini`);
    fs.writeFileSync(file, fill(fs.readFileSync(path.join(this.root, template), 'utf8'), fields));
    daemon.life += 1;
    const log = fs.openSync(path.join(this.temp, `${daemon.name}.${daemon.life}.log`), 'w');
    const {PATH, HOME, LANG} = process.env;
    daemon.child = spawn(program, words, {cwd: this.root, stdio: ['ignore', log, log], env: {PATH, HOME, LANG, WELDYARD_BOOT: file}});
    fs.closeSync(log);
    this.record.add(`daemon ${daemon.name}: started, life ${daemon.life}`);
    const {child} = daemon;
    daemon.exited = new Promise(resolve => child.once('exit', (code, signal) => {
      daemon.child = undefined;
      this.record.add(`daemon ${daemon.name}: exited, ${signal ?? `code ${code}`}`);
      resolve();
    }));
  }
  daemonAt(address) {
    return this.daemons.find(daemon => daemon.address === address)?.name;
  }
  /** Returns the daemons that hold one of the connections to the store, by their sockets. */
  daemonsOfPorts(ports) {
    const inodes = fs
      .readFileSync('/proc/net/tcp', 'utf8')
      .split('\n')
      .map(line => line.trim().split(/\s+/))
      .filter(([, local, remote]) => ports.includes(parseInt(local?.split(':')[1], 16)) && parseInt(remote?.split(':')[1], 16) === this.ports.store)
      .map(fields => `socket:[${fields[9]}]`);
    return this.daemons.filter(({child}) => {
      if (child === undefined) return false;
      const folder = `/proc/${child.pid}/fd`;
      return fs.readdirSync(folder).some(name => {
        try {
          return inodes.includes(fs.readlinkSync(path.join(folder, name)));
        } catch {
          return false;
        }
      });
    });
  }
  checkReadiness() {
    if (this.isClosed) return;
    this.daemons.forEach(daemon => {
      const call = http.get({host: daemon.address, port: this.ports.readiness, path: '/ready', timeout: 480, agent: false}, response => {
        response.resume();
        settle(response.statusCode === 200);
      });
      const settle = isReady => {
        if (call.isSettled) return;
        call.isSettled = true;
        daemon.misses = isReady ? 0 : daemon.misses + 1;
        const isIn = isReady || (daemon.isIn && daemon.misses < 2);
        if (isIn !== daemon.isIn) {
          daemon.isIn = isIn;
          this.record.add(`router: ${daemon.name} is ${isIn ? 'in' : 'out'}`);
        }
      };
      call.on('timeout', () => {
        settle(false);
        call.destroy();
      });
      call.on('error', () => settle(false));
    });
    setTimeout(() => this.checkReadiness(), 500).unref();
  }
  /** Daemons of a zone that get packets; all while fewer than half of them are in. */
  eligible() {
    const own = this.daemons.filter(({zone}) => zone === this.client.zone);
    const ready = own.filter(({isIn}) => isIn);
    if (ready.length === 0) return this.daemons.filter(({isIn}) => isIn);
    return ready.length * 2 < own.length ? own : ready;
  }
  /** Steady choice: when a daemon comes or goes, only its flows move. */
  choose(sport) {
    const score = ({address}) => createHash('sha1').update(`${address}/${sport}`).digest().readUInt32BE(0);
    return this.eligible().reduce((best, next) => (best === undefined || score(next) > score(best) ? next : best), undefined);
  }
  toDaemon(flow, bytes) {
    const daemon = this.choose(flow.sport);
    flow.lastDaemon = daemon?.name;
    if (daemon !== undefined && !this.isClosed) this.clientSocket.send(bytes, this.ports.datagrams, daemon.address);
  }
  newFlow(sport, route) {
    const flow = new Flow(this, sport, route);
    this.flows.set(sport, flow);
    flow.open();
    return flow;
  }
  /** Ends all daemons and closes everything; ends the program with `code`. */
  async close(code) {
    this.isClosed = true;
    this.daemons.forEach(({child}) => child?.kill('SIGKILL'));
    await Promise.all(this.daemons.map(({exited}) => exited));
    this.record.write();
    if (process.env['KEEP'] === undefined) fs.rmSync(this.temp, {recursive: true, force: true});
    else process.stdout.write(`${this.temp}\n`);
    process.exit(code);
  }
}
