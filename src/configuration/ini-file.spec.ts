import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {readIniFile} from './ini-file.js';
import {processSettingsSchema} from './process-settings.js';
import {compileServices} from './services.js';
import {templateSchema} from './template.js';
import {workspaceSchema} from './workspace.js';

const TEMPLATE = `
[template]
name = meterpay
[server]
slots = 3
[flows]
idle-limit = 2h
`;

const WORKSPACE = `
[workspace]
name = parkwise
[service.meterpay]
template = meterpay
address = 10.20.0.1:443
servers[] = 127.0.0.1:9000
servers[] = 127.0.0.1:9002 weight=2
`;

function faultsOf(text: string, schema: Parameters<typeof readIniFile>[1]) {
  return readIniFile({file: 'x.ini', text}, schema).match(
    () => [],
    failure => failure.faults,
  );
}

test('missing keys of a template get their defaults', () => {
  const read = readIniFile({file: 't', text: TEMPLATE}, templateSchema);
  const template = read._unsafeUnwrap();
  assert.equal(template.flows['idle-limit'], 7_200_000);
  assert.equal(template.server.connections, 2_000);
  assert.equal(template.requests.repeatable, false);
});

test('all faults of a file are reported at once, with section and key', () => {
  const text = `
[template]
name = Meter Pay
[server]
slots = 0
slotz = 3
`;
  const faults = faultsOf(text, templateSchema);
  assert.deepEqual(faults.map(({section, key}) => `${section}/${key}`).sort(), [
    'server/slots',
    'server/slotz',
    'template/name',
  ]);
  assert.match(
    faults.find(({key}) => key === 'slotz')?.right ?? '',
    /slots, connections/,
  );
});

test('duplicate keys, duplicate sections and malformed lines are faults', () => {
  const text = `${TEMPLATE}\nlifetime = 1h\nlifetime = 2h\n[server]\nwhat is this\n`;
  const faults = faultsOf(text, templateSchema);
  assert.equal(faults.length, 3);
});

test('missing sections are reported by name', () => {
  const faults = faultsOf('', processSettingsSchema);
  assert.deepEqual(faults.map(({key}) => key).sort(), [
    'daemon',
    'listen',
    'platform',
  ]);
});

test('a server accepts a weight above 0 only', () => {
  const read = readIniFile({file: 'w', text: WORKSPACE}, workspaceSchema);
  assert.deepEqual(read._unsafeUnwrap().service['meterpay'].servers, [
    {id: '127.0.0.1:9000', weight: 1},
    {id: '127.0.0.1:9002', weight: 2},
  ]);
  const wrong = WORKSPACE.replace('weight=2', 'weight=0');
  assert.deepEqual(
    faultsOf(wrong, workspaceSchema).map(({key}) => key),
    ['servers'],
  );
});

test('an address used by two services is rejected with the name of the other', () => {
  const faults = compileServices({
    'template/meterpay': TEMPLATE,
    'workspace/parkwise': WORKSPACE,
    'workspace/other': WORKSPACE.replace('name = parkwise', 'name = other')
      .replace('127.0.0.1:9000', '127.0.0.1:9100')
      .replace('127.0.0.1:9002', '127.0.0.1:9102'),
  }).match(
    () => [],
    failure => failure.faults,
  );
  assert.equal(faults.length, 1);
  assert.match(faults[0].wrong, /already used by parkwise\/meterpay/);
});

test('arbitrary text never makes the reader throw', () => {
  fc.assert(
    fc.property(fc.string({unit: 'binary', maxLength: 300}), text => {
      [templateSchema, workspaceSchema, processSettingsSchema].forEach(
        schema => {
          const result = readIniFile({file: 'f', text}, schema);
          assert.ok(result.isOk() || result.error.faults.length > 0);
        },
      );
    }),
    {seed: 11, numRuns: 500},
  );
});
