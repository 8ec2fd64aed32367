/** Child processes of a demo, experiment or soak run, killed when it exits. */
import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

const KILL_TIMEOUT_MS = 35_000;

/** A running child process. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code; null when a signal ended it. */
  readonly ended: Promise<number | null>;
}

/** Groups with running processes, to be killed when this process exits. */
const activeGroups = new Set<ProcessGroup>();
process.on('exit', () => activeGroups.forEach(group => group.killAll()));

/** Child processes of one run, by name. */
export class ProcessGroup {
  private readonly started = new Map<string, StartedProcess>();

  private constructor() {}

  /** Creates an empty group. */
  static create(): ProcessGroup {
    return new ProcessGroup();
  }

  /** Starts a Node.js program; appends its output to the file `log`. */
  start(
    name: string,
    args: readonly string[],
    log: string,
    environment: NodeJS.ProcessEnv = {},
  ): StartedProcess {
    const output = openSync(log, 'a');
    const child = spawn(process.execPath, args, {
      stdio: ['ignore', output, output],
      env: {...process.env, ...environment},
    });
    closeSync(output);
    const ended = new Promise<number | null>(resolve => {
      child.once('exit', code => resolve(code));
    });
    const started = {name, child, ended};
    this.started.set(name, started);
    activeGroups.add(this);
    void ended.then(() => this.remove(name));
    return started;
  }

  private remove(name: string): void {
    this.started.delete(name);
    if (this.started.size === 0) {
      activeGroups.delete(this);
    }
  }

  /** Returns a process; undefined when none of that name is running. */
  get(name: string): StartedProcess | undefined {
    return this.started.get(name);
  }

  /** Sends a signal to a process; does nothing when it is not running. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.started.get(name)?.child.kill(signal);
  }

  /**
   * Sends SIGTERM, then SIGKILL after 35 s. Resolves with the exit code; null when
   * a signal ended the process or it was not running.
   */
  async stop(name: string): Promise<number | null> {
    const found = this.started.get(name);
    if (found === undefined) {
      return null;
    }
    found.child.kill('SIGTERM');
    const timer = setTimeout(
      () => found.child.kill('SIGKILL'),
      KILL_TIMEOUT_MS,
    );
    const code = await found.ended;
    clearTimeout(timer);
    return code;
  }

  /** Kills all running processes, suspended ones included. */
  killAll(): void {
    this.started.forEach(({child}) => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
  }
}
