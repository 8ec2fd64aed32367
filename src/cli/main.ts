#!/usr/bin/env node
/** The command line for operators. Exit codes: 0 done, 1 failed, 2 usage error. */
import {cac} from 'cac';
import {VERSION} from '../version.js';
import {ExitCode, type CommonOptions} from './command-output.js';
import {
  apply,
  check,
  diff,
  history,
  show,
  type ApplyOptions,
} from './commands.js';
import {
  causes,
  explain,
  logs,
  status,
  statusFromLogs,
  timeline,
  type CauseOptions,
  type TimelineOptions,
} from './observation-commands.js';
import {Platform} from './platform.js';

const DEFAULT_SETTINGS = 'weldyard.ini';

/** Runs a command with a connection to the platform from the settings. */
async function withPlatform(
  options: CommonOptions,
  run: (platform: Platform) => Promise<ExitCode>,
): Promise<ExitCode> {
  const opened = Platform.open(options.config);
  if (opened.isErr()) {
    process.stderr.write(`${opened.error.message}\n`);
    return ExitCode.FAILED;
  }
  const code = await run(opened.value);
  opened.value.close();
  return code;
}

const program = cac('weldyard');
program.option('--config <file>', 'settings that name the platform (INI)', {
  default: DEFAULT_SETTINGS,
});
program.option('--json', 'print JSON');
program
  .command('check <...files>', 'validate settings, templates and workspaces')
  .action((files: string[], options: CommonOptions) =>
    check(files, options.json === true),
  );
program
  .command('apply [...files]', 'submit templates and workspaces as one edit')
  .option('--remove <source>', 'remove "template/NAME" or "workspace/NAME"')
  .option('--editor <name>', 'who makes the edit')
  .option('--base <revision>', 'the revision that the edit is based on')
  .option('--rebase', 'apply even if others edited since the base revision')
  .option('--dry-run', 'show what would change')
  .option('--wait', 'wait until it is active on every daemon')
  .action((files: string[], options: ApplyOptions) =>
    withPlatform(options, platform => apply(platform, files, options)),
  );
program
  .command('show [source]', 'print templates and workspaces')
  .option('--revision <number>', 'an earlier revision')
  .action((name: string | undefined, options: CommonOptions) =>
    withPlatform(options, platform => show(platform, name, options)),
  );
program
  .command('diff <from> [to]', 'compare two revisions')
  .action((from: string, to: string | undefined, options: CommonOptions) =>
    withPlatform(options, platform => diff(platform, from, to, options)),
  );
program
  .command('history', 'list the edits')
  .action((options: CommonOptions) =>
    withPlatform(options, platform => history(platform, options)),
  );
program
  .command(
    'status [...files]',
    'show the state of daemons, live or from log files',
  )
  .example('  $ weldyard status d1.log d2.log')
  .action((files: string[], options: CommonOptions) =>
    files.length > 0
      ? statusFromLogs(files, options)
      : withPlatform(options, platform => status(platform, options)),
  );
program
  .command('timeline', 'show events of all daemons')
  .option('--since <time>', 'ISO time of the first event')
  .option('--flow <text>', 'events that name a flow')
  .option('--request <key>', 'events that name a request')
  .option('--revision <number>', 'events that name a revision')
  .option('--out <file>', 'draw into FILE.svg or FILE.html')
  .action((options: TimelineOptions) =>
    withPlatform(options, platform => timeline(platform, options)),
  );
program
  .command('logs <...files>', "show the lines of daemons' log files, merged")
  .option('--since <time>', 'ISO time of the first line')
  .option('--flow <address:port>', 'lines that name a flow')
  .option('--server <id>', 'lines that name a backend server')
  .option('--out <file>', 'draw into FILE.svg or FILE.html')
  .example('  $ weldyard logs d1.log d2.log --server i-7f3a91c2')
  .action((files: string[], options: TimelineOptions) => logs(files, options));
program
  .command(
    'explain <flow> <...files>',
    "explain a flow's outcome from log files",
  )
  .example('  $ weldyard explain 100.64.0.7:40001 *.log')
  .action((flow: string, files: string[], options: CommonOptions) =>
    explain(flow, files, options),
  );
program
  .command(
    'causes <...files>',
    'count outcomes for callers over time, by cause',
  )
  .option('--every <seconds>', 'length of a time span', {default: 2})
  .example('  $ weldyard causes *.log --every 1')
  .action((files: string[], options: CauseOptions) => causes(files, options));
program.help();
program.version(VERSION);

/** Parses the arguments and runs the command; usage errors have their own exit code. */
async function main(): Promise<ExitCode> {
  try {
    program.parse(process.argv, {run: false});
    const {help, version} = program.options;
    if (help === true || version === true) {
      return ExitCode.DONE;
    }
    if (program.matchedCommand === undefined) {
      program.outputHelp();
      return ExitCode.USAGE_ERROR;
    }
    return (await program.runMatchedCommand()) as ExitCode;
  } catch (error) {
    const isUsageError = error instanceof Error && error.name === 'CACError';
    process.stderr.write(`weldyard: ${String(error)}\n`);
    return isUsageError ? ExitCode.USAGE_ERROR : ExitCode.FAILED;
  }
}

process.exitCode = await main();
