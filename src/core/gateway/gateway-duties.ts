import type { DutyCalls, DutyHolder, DutySettings, WindowResult } from '../duties/index.ts';
import {
  createHolderWatch,
  createPacedCalls,
  createUsageBook,
  createUsageReporter,
} from '../duties/index.ts';
import type { ErrorReporter } from '../errors/index.ts';
import { ErrorOrigin } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import type { PeerExchangeListener } from '../peers/index.ts';
import type { StoreClient } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';

/** Dependencies and settings of the duties of one gateway. */
export interface GatewayDutiesOptions {
  vmName: string;
  incarnation: number;
  /** Undefined if this deployment has no duties. */
  settings: DutySettings | undefined;
  /** Undefined if the platform has no calls of duties. */
  calls: DutyCalls | undefined;
  store: StoreClient;
  timers: TimerService;
  logger: Logger;
  errorReporter: ErrorReporter;
  /** Returns the term in which this process is the leader now; 0 if it is not. */
  getTerm(): number;
  /** Called with the usage windows that ended in the same way. */
  countWindows(result: WindowResult, count: number): void;
}

/** What one gateway does of the work that exactly one gateway does at a time. */
export interface GatewayDuties {
  /** Returns the holder of all duties if it is this process and it may make calls now. */
  getHolder(): DutyHolder | undefined;
  /** Returns for how long this process has held the duties, in ms; 0 if it does not. */
  getHeldMs(): number;
  /** Calls that are made in order, and below the platform's rate; undefined without duties. */
  calls: DutyCalls | undefined;
  /** Counts a request whose answer begins now; an anonymous one has no customer. */
  recordBegin(customer: string | undefined): void;
  /** Exchange of counts with the other gateways. */
  takeUsage: PeerExchangeListener['takeUsage'];
  handleUsage: PeerExchangeListener['handleUsage'];
  stop(): Promise<void>;
}

/** Interval at which the lease is looked at, and at which what is due is begun. */
const STEP_PERIOD_MS = 250;

const NO_DUTIES: GatewayDuties = {
  getHolder: () => undefined,
  getHeldMs: () => 0,
  calls: undefined,
  recordBegin: () => undefined,
  takeUsage: () => [],
  handleUsage: () => undefined,
  stop: () => Promise.resolve(),
};

/** The part of the duties that reports the usage of customers. */
type UsageDuty = Pick<GatewayDuties, 'recordBegin' | 'takeUsage' | 'handleUsage'> & {
  step(): Promise<void>;
};

function createUsageDuty(
  options: GatewayDutiesOptions,
  { usageWindowMs: windowMs, usageLateMs: lateMs }: DutySettings,
  paced: { calls: DutyCalls; getHolder(): DutyHolder | undefined },
): UsageDuty {
  const book = createUsageBook({ ...options, windowMs });
  const reporter = createUsageReporter({ ...options, ...paced, windowMs, lateMs, book });
  return {
    recordBegin(customer) {
      if (customer !== undefined) book.recordBegin(customer);
    },
    takeUsage: book.takeUsage,
    handleUsage: book.receiveUsage,
    async step() {
      book.tick();
      await reporter.step();
    },
  };
}

/** Starts the duties of a gateway; there are none if the settings or the platform have none. */
export function startGatewayDuties(options: GatewayDutiesOptions): GatewayDuties {
  const { settings, timers, errorReporter } = options;
  if (settings === undefined || options.calls === undefined) return NO_DUTIES;
  const { getHolder, getHeldMs } = createHolderWatch({ ...options, leaseMs: settings.leaseMs });
  const calls = createPacedCalls({
    calls: options.calls,
    callsPerSecond: settings.callsPerSecond,
    timers,
    getHolder,
  });
  const usage = settings.isUsageReported
    ? createUsageDuty(options, settings, { calls, getHolder })
    : undefined;
  const stopSteps = timers.subscribe(STEP_PERIOD_MS, () => {
    // Asked in each step, so that a new term is noticed.
    getHolder();
    usage?.step().catch((error: unknown) => errorReporter.report(ErrorOrigin.Timer, error));
  });
  return {
    ...NO_DUTIES,
    ...usage,
    getHolder,
    getHeldMs: () => getHeldMs() ?? 0,
    calls,
    async stop() {
      stopSteps();
      await calls.close();
    },
  };
}
