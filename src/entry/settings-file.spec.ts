import assert from 'node:assert/strict';
import {test} from 'node:test';
import {stringify} from 'ini';
import {readEntrySettings} from './settings-file.js';

const FILE = 'local.ini';

type Section = Readonly<Record<string, string | undefined>>;

const VALID_SETTINGS: Readonly<Record<string, Section>> = {
  instance: {
    name: 'front-a-1',
    address: '10.1.0.10',
    'failure-domain': 'a',
    'processor-share': '0.675',
    'link-mbps': '1000',
  },
  listen: {
    packets: '10.1.0.10:8172',
    readiness: '10.1.0.10:8167',
    'peer-port': '7720',
  },
  fabric: {form: 'cookies'},
  fleet: {'first-start': 'true', seeds: '10.1.0.10:8166,10.2.0.40:8166'},
  store: {address: '10.200.1.7:8169'},
  limits: {
    stop: '6s',
    'flow-lifetime': '60s',
    'in-force': '3000ms',
    'evacuation-ms': '',
    'cold-excess': '1.5',
    'cold-slack': '5',
  },
  features: {base: 'true', pressure: 'true'},
  regions: {a: 'east'},
  'not-known': {key: 'value'},
};

/** Reads valid settings with some keys of a section changed or left out. */
function read(section = 'instance', change: Section = {}) {
  const changed = {
    ...VALID_SETTINGS,
    [section]: {...VALID_SETTINGS[section], ...change},
  };
  return readEntrySettings(FILE, stringify(changed));
}

test('settings are decoded, and unknown keys are ignored', () => {
  assert.deepEqual(read()._unsafeUnwrap(), {
    name: 'front-a-1',
    address: 0x0a01000a,
    failureDomain: 'a',
    regions: new Map([['a', 'east']]),
    fabricListen: '10.1.0.10:8172',
    fabricForm: 'cookies',
    readinessListen: '10.1.0.10:8167',
    peerPort: 7_720,
    isFirstStart: true,
    seeds: [0x0a01000a, 0x0a020028],
    storeAddress: '10.200.1.7:8169',
    capacity: 675,
    linkMbps: 1_000,
    stopLimitMs: 6_000,
    flowLifetimeMs: 60_000,
    inForceLimitMs: 3_000,
    coldLimits: {excess: 1.5, slack: 5},
    features: {feedback: false, ratings: false, pressure: true},
  });
});

test('seeds may be missing, and first-start may be false', () => {
  const change = {seeds: '', 'first-start': 'false'};
  const settings = read('fleet', change)._unsafeUnwrap();
  assert.deepEqual(settings.seeds, []);
  assert.equal(settings.isFirstStart, false);
});

test('features are off by default', () => {
  const none = {pressure: '', base: ''};
  const {features} = read('features', none)._unsafeUnwrap();
  assert.deepEqual(features, {
    feedback: false,
    ratings: false,
    pressure: false,
  });
});

const INVALID_SETTINGS: ReadonlyArray<[string, string, Section, RegExp]> = [
  [
    'no address',
    'instance',
    {address: ''},
    /^local\.ini: \[instance\] address: is missing; write an IPv4 address/,
  ],
  [
    'a bad address',
    'instance',
    {address: '10.1'},
    /^local\.ini: \[instance\] address: is "10\.1"; write an IPv4 address/,
  ],
  [
    'no listen address',
    'listen',
    {packets: ''},
    /^local\.ini: \[listen\] packets: is missing; write an IPv4 address and/,
  ],
  [
    'no port for peers',
    'listen',
    {'peer-port': ''},
    /\[listen\] peer-port: is missing; write a port/,
  ],
  [
    'a bad seed',
    'fleet',
    {seeds: 'x'},
    /^local\.ini: \[fleet\] seeds: is "x"; write "ip:port" pairs/,
  ],
  [
    'an invalid flag',
    'fleet',
    {'first-start': 'perhaps'},
    /^local\.ini: \[fleet\] first-start: is "perhaps"; write true or false/,
  ],
  [
    'no store',
    'store',
    {address: ''},
    /^local\.ini: \[store\] address: is missing; write an IPv4 address and/,
  ],
  [
    'a share of zero',
    'instance',
    {'processor-share': '0'},
    /processor-share: is "0"; write a number above 0/,
  ],
  [
    'a duration without a number',
    'limits',
    {stop: 's'},
    /^local\.ini: \[limits\] stop: is "s"; write a duration above 0/,
  ],
];

INVALID_SETTINGS.forEach(([name, section, change, message]) =>
  test(`settings with ${name} give a one-line error that names the key`, () => {
    assert.match(read(section, change)._unsafeUnwrapErr().message, message);
  }),
);

test('all faults of a file are reported at once', () => {
  const change = {address: '', 'processor-share': '-1'};
  const {faults} = read('instance', change)._unsafeUnwrapErr();
  assert.deepEqual(
    faults.map(({key}) => key),
    ['address', 'processor-share'],
  );
});
