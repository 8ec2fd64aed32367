/** Child processes of a demo or experiment, each ended by its own id. */
import {spawn, type ChildProcess} from 'node:child_process';
import {closeSync, openSync} from 'node:fs';

const KILL_AFTER_MS = 35_000;

/** A process that was started here. */
export interface StartedProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Resolves with the exit code; null after a signal. */
  readonly ended: Promise<number | null>;
}

/** The sets that still run something; all end when this process does. */
const sets = new Set<Processes>();
process.on('exit', () => sets.forEach(set => set.killAll()));

/** All processes of one run. */
export class Processes {
  private readonly started = new Map<string, StartedProcess>();

  private constructor() {}

  /** Creates an empty set; everything in it ends when this process does. */
  static create(): Processes {
    return new Processes();
  }

  /** Starts a Node program; its output goes to a file. */
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
    sets.add(this);
    void ended.then(() => this.forget(name));
    return started;
  }

  private forget(name: string): void {
    this.started.delete(name);
    if (this.started.size === 0) {
      sets.delete(this);
    }
  }

  /** A process by name, while it runs. */
  get(name: string): StartedProcess | undefined {
    return this.started.get(name);
  }

  /** Sends a signal. */
  signal(name: string, signal: NodeJS.Signals): void {
    this.started.get(name)?.child.kill(signal);
  }

  /** Asks a process to stop and waits for its end; returns its exit code. */
  async stop(name: string): Promise<number | null> {
    const found = this.started.get(name);
    if (found === undefined) {
      return null;
    }
    found.child.kill('SIGTERM');
    const timer = setTimeout(() => found.child.kill('SIGKILL'), KILL_AFTER_MS);
    const code = await found.ended;
    clearTimeout(timer);
    return code;
  }

  /** Kills everything that still runs. */
  killAll(): void {
    this.started.forEach(({child}) => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
  }
}
