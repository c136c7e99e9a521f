import type { TimerService } from '../../core/timers/index.ts';

/** Handle for the faults of a run. */
export interface InjectedFaults {
  /** Resolves when all faults have ended. */
  finish(): Promise<void>;
}

/** Runs each fault at its planned time, in milliseconds from now; faults may overlap. */
export function scheduleFaults<Fault extends { atMs: number }>(
  timers: Pick<TimerService, 'waitFor'>,
  faults: readonly Fault[],
  runFault: (fault: Fault) => Promise<void>,
): InjectedFaults {
  const running = faults.map(async (fault) => {
    await timers.waitFor(fault.atMs);
    await runFault(fault);
  });
  return {
    async finish() {
      await Promise.all(running);
    },
  };
}
