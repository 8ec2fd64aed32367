import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Beat} from '../generated/catalog.js';
import {ageHeartbeat} from './heartbeat-ages.js';

const AGE_MS = 100;

/** Returns the values of all fields whose names end in "ageMs", at any depth. */
function listAges(value: unknown): number[] {
  if (Array.isArray(value)) {
    return value.flatMap(listAges);
  }
  if (typeof value !== 'object' || value === null) {
    return [];
  }
  return Object.entries(value).flatMap(([name, field]) =>
    /ageMs$/i.test(name) ? [field as number] : listAges(field),
  );
}

// Guards against a kind of news that counts as new although its heartbeat was handled late.
test('all ages in a heartbeat grow by its delay', () => {
  const heartbeat = Beat.fromPartial({
    sender: {ageMs: AGE_MS},
    peers: [{ageMs: AGE_MS}, {ageMs: AGE_MS}],
    routesAgeMs: AGE_MS,
    serversAgeMs: AGE_MS,
    reads: [{ageMs: AGE_MS}],
    reachNews: [{ageMs: AGE_MS}],
    evidence: [{ageMs: AGE_MS}],
  });
  const ages = listAges(ageHeartbeat(heartbeat, 50));
  assert.deepEqual(
    ages,
    listAges(heartbeat).map(age => age + 50),
  );
  assert.equal(ages.length, 8);
});
