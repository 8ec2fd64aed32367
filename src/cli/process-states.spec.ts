import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {TimelineEvent} from '../generated/peer.js';
import {
  isHealthy,
  summarizeProcesses,
  type ProcessState,
} from './process-states.js';

type Line = readonly [process: string, kind: string, fields?: object];

function eventsOf(lines: readonly Line[]): TimelineEvent[] {
  return lines.map(([process, kind, fields], index) => ({
    process,
    kind,
    physicalMs: 1_000 + index,
    logical: 0,
    detailJson: JSON.stringify(fields ?? {}),
  }));
}

function stateOf(name: string, lines: readonly Line[]): ProcessState {
  const found = summarizeProcesses(eventsOf(lines)).find(
    ({process}) => process === name,
  );
  assert.ok(found);
  return found;
}

const HEALTHY: readonly Line[] = [
  ['d1', 'started'],
  ['d1', 'ready', {routeVersion: 7}],
  ['d2', 'started'],
  ['d2', 'ready', {routeVersion: 7}],
];

test('daemons that are ready on one version are healthy', () => {
  const states = summarizeProcesses(eventsOf(HEALTHY));
  assert.deepEqual(
    states.map(({process, phase, routeVersion}) => [
      process,
      phase,
      routeVersion,
    ]),
    [
      ['d1', 'ready', 7],
      ['d2', 'ready', 7],
    ],
  );
  assert.equal(isHealthy(states), true);
});

const UNHEALTHY: ReadonlyArray<[string, Line]> = [
  ['an older version', ['d1', 'routes-taken', {routeVersion: 8}]],
  ['a stopped daemon', ['d2', 'stopped', {}]],
  ['a daemon without the store', ['d2', 'source-lost', {kind: 'silent'}]],
];

UNHEALTHY.forEach(([name, line]) =>
  test(`a fleet with ${name} is not healthy`, () => {
    const states = summarizeProcesses(eventsOf([...HEALTHY, line]));
    assert.equal(isHealthy(states), false);
  }),
);

test('a daemon reaches the store again after it answers, or after a restart', () => {
  const lost: Line = ['d1', 'source-lost'];
  const regained = [...HEALTHY, lost, ['d1', 'source-regained'] as Line];
  assert.equal(stateOf('d1', regained).lacksStore, false);
  assert.equal(
    stateOf('d1', [...HEALTHY, lost, ['d1', 'started']]).lacksStore,
    false,
  );
});

test('starts without a stop before them count as unplanned ends', () => {
  const state = stateOf('d1', [
    ['d1', 'started'],
    ['d1', 'stopping'],
    ['d1', 'stopped'],
    ['d1', 'started'],
    ['d1', 'unexpected-error', {cause: 'x'}],
    ['d1', 'started'],
    ['d1', 'lines-left-out', {of: 'flow-placed', count: 12}],
    ['d1', 'server-silent', {linesLost: 3}],
  ]);
  assert.equal(state.starts, 3);
  assert.equal(state.unplannedEnds, 1);
  assert.equal(state.errors, 1);
  assert.equal(state.linesMissing, 15);
  assert.equal(state.phase, 'starting');
});

test('a log of 200,000 lines is summarized', () => {
  const lines = Array.from({length: 200_000}, (_line, index): Line => [
    'd1',
    'routes-taken',
    {routeVersion: index},
  ]);
  assert.equal(stateOf('d1', lines).routeVersion, 199_999);
});

test('domains that were evacuated since the last start are listed', () => {
  const lines: readonly Line[] = [
    ['d1', 'domain-evacuated', {failureDomain: 'lost-with-the-start'}],
    ['d1', 'started'],
    ['d1', 'domain-evacuated', {failureDomain: 'b'}],
    ['d1', 'domain-evacuated', {failureDomain: 'a'}],
    ['d1', 'domain-restored', {failureDomain: 'b'}],
  ];
  assert.deepEqual(stateOf('d1', lines).evacuated, ['a']);
});

test('the build is that of the last start; a start of a build that names none has none', () => {
  const upgraded: readonly Line[] = [
    ['d1', 'started', {build: '0a1b2c3d'}],
    ['d1', 'stopped'],
    ['d1', 'started', {build: '4e5f6a7b'}],
    ['d1', 'peer-build', {peer: '10.0.0.2', build: '0a1b2c3d'}],
  ];
  assert.equal(stateOf('d1', upgraded).build, '4e5f6a7b');
  assert.equal(stateOf('d1', [...upgraded, ['d1', 'started']]).build, '');
});

test('events and fields that this build does not know change no state', () => {
  const later: readonly Line[] = [
    ['d1', 'event-of-a-later-build', {routeVersion: 'seven', linesLost: null}],
  ];
  const {lastLineMs, ...before} = stateOf('d1', HEALTHY);
  const {lastLineMs: after, ...state} = stateOf('d1', [...HEALTHY, ...later]);
  assert.deepEqual(state, before);
  assert.ok(after > lastLineMs);
});
