/** Processor time and memory of a process, from the proc file system. */
import {readFileSync} from 'node:fs';

const TICKS_A_SECOND = 100;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;
const KIBIBYTE = 1_024;

/** What a process has used. */
export interface ProcessUsage {
  /** User and system time, in seconds. */
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the usage of a running process. */
export function usageOf(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const resident = /VmRSS:\s+(\d+)/.exec(status)?.[1] ?? '0';
  return {
    cpuSeconds: ticks / TICKS_A_SECOND,
    residentBytes: Number(resident) * KIBIBYTE,
  };
}
