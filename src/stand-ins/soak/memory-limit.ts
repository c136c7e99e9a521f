import type { TimerService } from '../../core/timers/index.ts';
import type { RunningProcess } from '../../demo/processes.ts';
import { readResidentMb } from '../../demo/resident-memory.ts';

/** Memory of a process that has been watched. */
export interface MemoryWatch {
  /** Resident memory when it was read last, in MB. */
  getLastMb(): number;
  /** Whether the process was killed because it exceeded its limit. */
  wasKilled(): boolean;
  stop(): void;
}

/** Options of a memory watch. */
export interface MemoryWatchOptions {
  timers: Pick<TimerService, 'subscribe'>;
  process: Pick<RunningProcess, 'pid'>;
  limitMb: number;
  /** Called with each reading, in MB. */
  handleReading(memoryMb: number): void;
  /** Kills the process; called once, when it exceeds its limit. */
  kill(): void;
}

const PERIOD_MS = 50;

/** Kills a process as soon as it holds more memory than its limit, as the platform does. */
export function watchMemory(options: MemoryWatchOptions): MemoryWatch {
  const { timers, process, limitMb, handleReading, kill } = options;
  let lastMb = 0;
  let isKilled = false;
  const stop = timers.subscribe(PERIOD_MS, () => {
    const memoryMb = readResidentMb(process.pid);
    if (memoryMb === 0) return;
    lastMb = memoryMb;
    handleReading(memoryMb);
    if (memoryMb <= limitMb || isKilled) return;
    isKilled = true;
    kill();
  });
  return { getLastMb: () => lastMb, wasKilled: () => isKilled, stop };
}
