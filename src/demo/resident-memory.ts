import { readFileSync } from 'node:fs';

const KB_PER_MB = 1_024;

/** Reads the resident memory of a process in MB; 0 if the process has ended. */
export function readResidentMb(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(?<kb>\d+)/.exec(status)?.groups?.kb ?? 0) / KB_PER_MB;
  } catch {
    return 0;
  }
}
