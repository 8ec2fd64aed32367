/** Decisions on faulty servers, without a network: which are ejected, how soon, for long. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {CatalogServer} from '../catalog/records.js';
import type {Random} from '../routing/random.js';
import {
  RatedService,
  type BadOutcome,
  type RatedServicePlan,
} from '../../standins/rated-service.js';
import {EjectionPhase} from './ejection.js';
import {FaultKind} from './server-evidence.js';

const SERVERS = 84;
/** Ten a second to each of 84 servers. */
const REQUESTS_PER_SECOND = 840;
const MAX_HELD_SHARE = 0.35;

function numberOf({id}: CatalogServer): number {
  return Number(id.slice(2));
}

/** Returns the ids of the servers numbered 1 to `count`. */
function firstIds(count: number): string[] {
  return Array.from({length: count}, (_id, index) => `i-${index + 1}`);
}

/** Behaviour of servers of which the first `count` fail a share of their requests. */
function failing(count: number, share: number, ambient = 0.01) {
  return (server: CatalogServer, _now: number, random: Random) =>
    failWith(numberOf(server) <= count ? share : ambient, random);
}

function failWith(share: number, random: Random): BadOutcome | undefined {
  return random.nextBool(share)
    ? {kind: FaultKind.FAILED, afterMs: 100}
    : undefined;
}

function createService(plan: Partial<RatedServicePlan>): RatedService {
  return RatedService.create({
    servers: SERVERS,
    requestsPerSecond: REQUESTS_PER_SECOND,
    outcomeOf: () => undefined,
    ...plan,
  });
}

function ejectedIds({ejected}: RatedService): Set<string> {
  return new Set(ejected.map(({id}) => id));
}

[
  {bad: 12, share: 0.5},
  {bad: 17, share: 0.4},
  {bad: 21, share: 0.4},
].forEach(({bad, share}) =>
  test(`${bad} of 84 servers that fail ${share} of their requests are ejected within 6 s, no other is, and they get less than a fifth of their share`, () => {
    const service = createService({outcomeOf: failing(bad, share)});
    service.advance(6_000);
    const ids = firstIds(bad);
    assert.deepEqual(ejectedIds(service), new Set(ids));
    service.advance(54_000);
    assert.deepEqual(ejectedIds(service), new Set(ids));
    const fair = bad / SERVERS;
    assert.ok(service.shareSince(0, ids) < fair / 5);
  }),
);

test('mute servers, a tenth of 84, are ejected within 5 s by requests overdue after 2 s', () => {
  const service = createService({
    outcomeOf: server =>
      numberOf(server) <= 8
        ? {kind: FaultKind.OVERDUE, afterMs: 2_000}
        : undefined,
  });
  service.advance(5_000);
  assert.deepEqual(ejectedIds(service), new Set(firstIds(8)));
  service.advance(55_000);
  assert.ok(service.shareSince(5_000, firstIds(8)) < 8 / SERVERS / 5);
});

[4, 8].forEach(factor =>
  test(`a tenth of 84 servers, ${factor} times as slow, get 0.15 to 0.6 of the usual load steadily, and none is ejected`, () => {
    const service = createService({
      outcomeOf: server =>
        numberOf(server) <= 8
          ? {kind: FaultKind.SLOW, afterMs: 100 * factor}
          : undefined,
    });
    const ids = firstIds(8);
    service.advance(30_000);
    Array.from({length: 6}, () => {
      const since = service.now;
      service.advance(10_000);
      const relative = service.shareSince(since, ids) / (8 / SERVERS);
      assert.ok(relative > 0.15 && relative < 0.6, `${relative}`);
    });
    assert.deepEqual(service.ejected, []);
  }),
);

test('a server that fails for 3 s of every 10 s is ejected for longer each time, up to a minute', () => {
  const service = createService({
    servers: 20,
    requestsPerSecond: 200,
    outcomeOf: (server, now, random) =>
      failWith(
        numberOf(server) === 1 && now % 10_000 < 3_000 ? 0.8 : 0.01,
        random,
      ),
  });
  service.advance(600_000);
  assert.deepEqual(ejectedIds(service), new Set(['i-1']));
  const durations = service.ejected.map(({at, until}) => until - at);
  assert.deepEqual(
    durations.slice(0, 5),
    [4_000, 8_000, 16_000, 32_000, 60_000],
  );
  assert.ok(durations.length <= 14, `${durations.length} ejections`);
});

test('no server is ejected while all fail half of their requests', () => {
  const service = createService({outcomeOf: failing(SERVERS, 0.5)});
  service.advance(60_000);
  assert.deepEqual(service.ejected, []);
});

[1, 2].forEach(servers =>
  test(`no server is ejected of a service of ${servers}, of which one fails all requests`, () => {
    const outcomeOf = failing(1, 1);
    const service = createService({
      servers,
      requestsPerSecond: servers * 10,
      outcomeOf,
    });
    service.advance(60_000);
    assert.deepEqual(service.ejected, []);
  }),
);

test('of three servers one is ejected if it alone fails, none if two fail alike', () => {
  const one = createService({
    servers: 3,
    requestsPerSecond: 30,
    outcomeOf: failing(1, 0.8),
  });
  one.advance(30_000);
  assert.deepEqual(ejectedIds(one), new Set(['i-1']));
  const two = createService({
    servers: 3,
    requestsPerSecond: 30,
    outcomeOf: failing(2, 0.8),
  });
  two.advance(30_000);
  assert.deepEqual(two.ejected, []);
});

[0.4, 0.5, 0.7].forEach(share =>
  test(`with ${share} of 84 servers failing, never more than 35% are ejected or in trial`, () => {
    const service = createService({
      outcomeOf: failing(Math.round(SERVERS * share), 0.8),
    });
    service.advance(60_000, () => {
      const held = [EjectionPhase.EJECTED, EjectionPhase.TRIAL].flatMap(phase =>
        service.listIn(phase),
      );
      assert.ok(held.length <= SERVERS * MAX_HELD_SHARE, `${held.length}`);
    });
  }),
);

test('of more outliers than may be ejected the worst are, and much worse ones later replace the least bad', () => {
  const service = createService({servers: 10, requestsPerSecond: 100});
  const [a, b, c, d] = service.servers;
  [
    {server: a, by: 10},
    {server: b, by: 20},
    {server: c, by: 30},
    {server: d, by: 40},
  ].forEach(({server, by}) => service.recordNow(server, FaultKind.FAILED, by));
  service.advance(500);
  assert.deepEqual(ejectedIds(service), new Set([b.id, c.id, d.id]));
  service.recordNow(a, FaultKind.FAILED, 60);
  service.advance(500);
  assert.deepEqual(
    new Set(service.listIn(EjectionPhase.EJECTED)),
    new Set([a.id, c.id, d.id]),
  );
  assert.deepEqual(
    service.returned.map(({id}) => id),
    [b.id],
  );
});

test('wrong evidence that is spread over all 84 servers, 25 a second, ejects nobody in 10 minutes', () => {
  const service = createService({
    outcomeOf: (_server, _now, random) => failWith(0.03, random),
  });
  service.advance(600_000);
  assert.deepEqual(service.ejected, []);
});

test('no server is ejected in a quiet hour with up to two stray faults a second', () => {
  fc.assert(
    fc.property(
      fc.integer({min: 1, max: 1_000}),
      fc.double({min: 0.01, max: 2, noNaN: true}),
      (seed, perSecond) => {
        // Each request stands for one that ends badly.
        const service = createService({
          seed,
          requestsPerSecond: perSecond,
          outcomeOf: () => ({kind: FaultKind.FAILED, afterMs: 0}),
        });
        service.advance(3_600_000);
        assert.deepEqual(service.ejected, []);
      },
    ),
    {seed: 4, numRuns: 6},
  );
});

test('a server that recovers is whole again after its trials, however much evidence came before', () => {
  const service = createService({});
  service.advance(1_000);
  service.recordNow(service.servers[0], FaultKind.FAILED, 500);
  service.advance(4_500);
  assert.deepEqual(service.listIn(EjectionPhase.TRIAL), ['i-1']);
  service.advance(60_000);
  assert.equal(service.ejected.length, 1);
  const [{at}] = service.returned;
  assert.ok(at >= 10_000 && at <= 10_500, `${at}`);
  const share = service.shareSince(11_000, ['i-1']);
  assert.ok(share > 0.008, `${share}`);
});

test('faults of flows that stayed at an ejected server keep it out of trials', () => {
  const service = createService({});
  service.advance(1_000);
  const [server] = service.servers;
  service.recordNow(server, FaultKind.FAILED, 10);
  service.advance(12_000, () =>
    service.recordNow(server, FaultKind.FAILED, 0.25),
  );
  assert.equal(service.ejected.length, 1);
  assert.deepEqual(service.listIn(EjectionPhase.EJECTED), ['i-1']);
});

test('servers that restart or replace others amid errors are typical at once', () => {
  const service = createService({outcomeOf: failing(12, 0.5)});
  service.advance(4_000);
  const old = service.servers;
  service.servers = old
    .map((server, index) =>
      index < 6 ? {...server, startTime: 7} : {...server, id: `j-${index}`},
    )
    .slice(0, 20);
  service.advance(250);
  assert.deepEqual(service.raters[0].list(service.now), []);
  old
    .slice(0, 12)
    .forEach(server =>
      assert.equal(
        service.raters[0].ratingOf({...server, startTime: 9}, service.now)
          .isEjected,
        false,
      ),
    );
});

test('no server is ejected while half of 84 are replaced within a second and all fail 3% of their requests', () => {
  const service = createService({outcomeOf: failing(0, 0, 0.03)});
  service.advance(30_000);
  Array.from({length: 4}, (_round, round) => {
    service.servers = service.servers.map((server, index) =>
      index % 2 === round % 2 ? {...server, startTime: round + 1} : server,
    );
    service.advance(30_000);
  });
  assert.deepEqual(service.ejected, []);
});

test('while half of the fleet rates nothing and 21 of 84 servers fail, the load of the others stays between 1 and 1.3 times the usual', () => {
  const service = createService({
    unratedShare: 0.5,
    outcomeOf: failing(21, 0.5),
  });
  service.advance(8_000);
  const bad = firstIds(21);
  Array.from({length: 10}, () => {
    const since = service.now;
    service.advance(5_000);
    const load = (1 - service.shareSince(since, bad)) / 0.75;
    assert.ok(load > 1 && load < 1.3, `${load}`);
  });
  assert.deepEqual(ejectedIds(service), new Set(bad));
});

test('a server that drains or leaves holds no place in the bound', () => {
  const service = createService({servers: 10, requestsPerSecond: 100});
  const [first, second, third, fourth] = service.servers;
  [first, second, third].forEach(server =>
    service.recordNow(server, FaultKind.FAILED, 20),
  );
  service.advance(500);
  service.recordNow(fourth, FaultKind.FAILED, 15);
  service.advance(500);
  assert.deepEqual(
    ejectedIds(service),
    new Set([first.id, second.id, third.id]),
  );
  service.servers = service.servers.filter(server => server !== first);
  service.advance(500);
  assert.deepEqual(
    new Set(service.listIn(EjectionPhase.EJECTED)),
    new Set([second.id, third.id, fourth.id]),
  );
});

test('a forgotten server is typical at once', () => {
  const service = createService({});
  service.recordNow(service.servers[0], FaultKind.FAILED, 50);
  service.advance(500);
  assert.deepEqual(service.listIn(EjectionPhase.EJECTED), ['i-1']);
  service.raters[0].forget('i-1');
  assert.deepEqual(service.raters[0].list(service.now), []);
});

[8, 101, 300].forEach(daemons =>
  test(`21 of 84 servers in trial get less than 8% of the requests of ${daemons} daemons together`, () => {
    const service = createService({daemons, requestsPerSecond: 420});
    service.servers
      .slice(0, 21)
      .forEach(server => service.recordNow(server, FaultKind.FAILED, 20));
    service.advance(12_000);
    const trials = service.sent.filter(({isTrial}) => isTrial);
    const [first, last] = [trials[0].at, trials[trials.length - 1].at];
    const during = service.sent.filter(({at}) => at >= first && at <= last);
    const share = trials.length / during.length;
    assert.ok(share > 0.02 && share < 0.08, `${share}`);
  }),
);
