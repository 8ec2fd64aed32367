#!/usr/bin/env node
/** Runs one kind of stand-in: `main.js KIND --listen ip:port ...`. */
import {cac} from 'cac';
import {BackendStandin} from './backend-server.js';
import {FabricStandin} from './fabric.js';
import {FlowCallers} from './flow-callers.js';
import {InstanceListStandin} from './instance-list.js';
import {RequestCallers} from './request-callers.js';
import {StoreStandin} from './store.js';

/** Options of all kinds of stand-ins; each kind uses some of them. */
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
  .option('--listen <address>', 'ip:port; comma-separated list for backends')
  .option('--list <address>', 'ip:port of the instance list')
  .option('--fabric <address>', 'ip:port of the fabric')
  .option('--domain <name>', 'failure domain', {default: 'hall-a'})
  .option('--services <names>', 'workspace/service names', {default: ''})
  .option('--slots <count>', 'concurrent requests', {default: 3})
  .option('--connections <count>', 'maximum open flows', {default: 2000})
  .option('--service-ms <time>', 'mean request duration', {default: 20})
  .option('--entries <json>', 'request addresses by daemon id', {
    default: '{}',
  })
  .option('--seed <number>', 'seed of the random numbers', {default: 1});

program
  .command('store', 'key-value store')
  .action((options: Options) =>
    StoreStandin.create(options.listen, options.seed),
  );
program
  .command('instance-list', 'instance list')
  .action((options: Options) => InstanceListStandin.create(options.listen));
program
  .command('fabric', 'distributes packets across daemons')
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
  .command('flow-callers', 'callers with long-lived flows')
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
