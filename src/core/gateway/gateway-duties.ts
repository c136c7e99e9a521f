import type { DutyCalls, DutyHolder, DutySettings } from '../duties/index.ts';
import { createHolderWatch, createPacedCalls } from '../duties/index.ts';
import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Dependencies and settings of the duties of one gateway. */
export interface GatewayDutiesOptions {
  vmName: string;
  settings: DutySettings;
  calls: DutyCalls;
  timers: TimerService;
  logger: Logger;
  /** Returns the term in which this process is the leader now; 0 if it is not. */
  getTerm(): number;
}

/** What one gateway does of the work that exactly one gateway does at a time. */
export interface GatewayDuties {
  /** Returns the holder of all duties if it is this process and it may make calls now. */
  getHolder(): DutyHolder | undefined;
  /** Calls that are made in order, and below the platform's rate. */
  calls: DutyCalls;
  stop(): Promise<void>;
}

/** Interval at which the lease is looked at. */
const CHECK_PERIOD_MS = 250;

/** Starts the duties of a gateway. */
export function startGatewayDuties(options: GatewayDutiesOptions): GatewayDuties {
  const { settings, timers } = options;
  const { getHolder } = createHolderWatch({ ...options, leaseMs: settings.leaseMs });
  const calls = createPacedCalls({
    calls: options.calls,
    callsPerSecond: settings.callsPerSecond,
    timers,
    getHolder,
  });
  const stopChecks = timers.subscribe(CHECK_PERIOD_MS, () => {
    getHolder();
  });
  return {
    getHolder,
    calls,
    async stop() {
      stopChecks();
      await calls.close();
    },
  };
}
