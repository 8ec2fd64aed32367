import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MemoryCounters} from '../adapters/memory-counters.js';
import {createServer} from '../../standins/catalog-records.js';
import {MemoryLog} from '../../standins/memory-log.js';
import {Ejection} from './ejection.js';
import {EjectionReports} from './ejection-reports.js';

test('a line tells why and for how long a server is ejected, and a metric counts it', () => {
  const log = MemoryLog.create('d1');
  const counters = MemoryCounters.create();
  const reports = EjectionReports.create({log, counters});
  const finding = {faults: 12.34, usual: 1.06};
  const server = createServer('i-7', 'pay');
  const ejection = Ejection.create(server, finding, 10_000, 1_000);
  reports.onEjected(ejection, 1_000);
  reports.onReturned(ejection);
  const fields = {
    server: 'i-7',
    service: 'pay',
    faults: 12.3,
    usual: 1.1,
    ejections: 1,
  };
  assert.deepEqual(
    log.logEntries.map(({event, fields}) => ({event, fields})),
    [
      {event: 'server-ejected', fields: {...fields, seconds: 4}},
      {event: 'server-returned', fields},
    ],
  );
  assert.equal(counters.read()['servers.ejections'], 1);
});
