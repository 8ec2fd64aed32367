#!/usr/bin/env node
/** Entry point of the daemon. Exit codes: 0 stopped, 1 failed, 2 usage error. */
import {readFileSync} from 'node:fs';
import {cac} from 'cac';
import {loadPeerSecurity} from '../adapters/peer-security.js';
import {WinstonLog} from '../adapters/winston-log.js';
import {readIniFile} from '../configuration/ini-file.js';
import {processSettingsSchema} from '../configuration/process-settings.js';
import {VERSION} from '../version.js';
import {Daemon} from './daemon.js';

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

/** Prints a message to standard error and exits. */
function fail(message: string, code: number): never {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}

/** Reads the settings and runs the daemon until SIGTERM or SIGINT. */
async function runDaemon(file: string): Promise<void> {
  const text = readText(file);
  const settings = readIniFile({file, text}, processSettingsSchema);
  if (settings.isErr()) {
    fail(settings.error.message, EXIT_FAILED);
  }
  const security = loadPeerSecurity(settings.value.security);
  if (security.isErr()) {
    fail(`${file}: ${security.error.message}`, EXIT_FAILED);
  }
  const {daemon, log: logSettings} = settings.value;
  const log = WinstonLog.create(daemon.id, logSettings.level);
  const running = await Daemon.create(settings.value, security.value, log);
  let stopping = false;
  const stop = () => {
    if (!stopping) {
      stopping = true;
      void running.stop().then(() => process.exit(0));
    }
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  await running.run();
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    return fail(`${file}: cannot be read: ${String(error)}`, EXIT_FAILED);
  }
}

const program = cac('weldyardd');
program.option('--config <file>', 'settings of this daemon (INI)');
program.help();
program.version(VERSION);
const parsed = program.parse(process.argv, {run: false});
const config: unknown = parsed.options['config'];
if (parsed.options['help'] !== true && parsed.options['version'] !== true) {
  if (typeof config !== 'string') {
    fail('weldyardd: --config FILE is required', EXIT_USAGE);
  }
  runDaemon(config).catch(error => fail(String(error), EXIT_FAILED));
}
