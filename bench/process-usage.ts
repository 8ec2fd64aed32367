/** Reads processor time and memory of a process from `/proc`. */
import {readFileSync} from 'node:fs';

/** Clock ticks of `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
/** Positions of `utime` and `stime` after the process name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const BYTES_PER_KIBIBYTE = 1_024;

/** Processor time and memory of a process. */
export interface ProcessUsage {
  /** User and system time. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the usage of a running process; throws when it has ended. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /VmRSS:\s+(\d+)/.exec(status)?.[1] ?? '0';
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(resident) * BYTES_PER_KIBIBYTE,
  };
}
