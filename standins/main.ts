#!/usr/bin/env node
/** The stand-ins' program: `main.js KIND --listen ip:port ...`. */
import {cac} from 'cac';
import {BackendStandin} from './backend-server.js';
import {FabricStandin} from './fabric.js';
import {FlowCallers} from './flow-callers.js';
import {InstanceListStandin} from './instance-list.js';
import {RequestCallers} from './request-callers.js';
import {StoreStandin} from './store.js';

/** Options of all kinds; each uses those it needs. */
interface Options {
  readonly listen: string;
  readonly list: string;
  readonly fabric: string;
  readonly seed: number;
  readonly domain: string;
  readonly services: string;
  readonly slots: number;
  readonly connections: number;
  readonly serviceMs: number;
  readonly entries: string;
}

const program = cac('weldyard-standin');
program
  .option('--listen <address>', 'ip:port; several with commas (backends)')
  .option('--list <address>', 'instance list')
  .option('--fabric <address>', 'fabric')
  .option('--domain <name>', 'failure domain', {default: 'hall-a'})
  .option('--services <names>', 'workspace/service names', {default: ''})
  .option('--slots <count>', 'requests at once', {default: 3})
  .option('--connections <count>', 'open flows', {default: 2000})
  .option('--service-ms <time>', 'mean time of a request', {default: 20})
  .option('--entries <json>', 'request addresses by daemon id', {
    default: '{}',
  })
  .option('--seed <number>', 'seed of random numbers', {default: 1});

program
  .command('store', 'key-value store')
  .action((options: Options) =>
    StoreStandin.create(options.listen, options.seed),
  );
program
  .command('instance-list', 'list of instances')
  .action((options: Options) => InstanceListStandin.create(options.listen));
program
  .command('fabric', 'sprays packets over daemons')
  .action((options: Options) =>
    FabricStandin.create({
      address: options.listen,
      list: options.list,
      seed: options.seed,
    }),
  );
program.command('backends', 'backend servers').action((options: Options) =>
  Promise.all(
    options.listen.split(',').map((address, index) =>
      BackendStandin.create({
        address,
        list: options.list,
        failureDomain: options.domain,
        services: options.services.split(','),
        slots: options.slots,
        connections: options.connections,
        serviceMs: options.serviceMs,
        seed: options.seed + index,
      }),
    ),
  ),
);
program
  .command('flow-callers', 'callers that hold flows open')
  .action((options: Options) =>
    FlowCallers.create(options.listen, options.fabric, options.seed),
  );
program
  .command('request-callers', 'callers that send requests')
  .action((options: Options) =>
    RequestCallers.create(
      options.listen,
      options.list,
      JSON.parse(options.entries) as Record<string, string>,
      options.seed,
    ),
  );
program.help();
program.parse();
