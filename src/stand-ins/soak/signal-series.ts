import { readFileSync } from 'node:fs';
import type { TimerService } from '../../core/timers/index.ts';
import type { SoakGateway } from './gateways.ts';
import { restartGateway } from './restart-gateway.ts';
import type { Observations } from './observations.ts';

/** Parts that a series of signals needs. */
export interface SignalSeriesOptions {
  timers: TimerService;
  observations: Observations;
  /** Whether SIGHUP is also sent before the program has set its handler. */
  areEarlySignalsSent: boolean;
}

type Step = { signal: NodeJS.Signals; afterMs: number } | { restart: true };

const REPEATED = 6;
const restart: Step = { restart: true };

function buildStep(signal: NodeJS.Signals, afterMs: number): Step {
  return { signal, afterMs };
}

/** Series of signals; a fault selects one. A stop that SIGKILL follows at once is cut off. */
const SERIES: readonly (readonly Step[])[] = [
  Array.from({ length: REPEATED }, () => buildStep('SIGHUP', 30)),
  [buildStep('SIGHUP', 0), buildStep('SIGTERM', 5), buildStep('SIGHUP', 40), restart],
  [buildStep('SIGTERM', 0), buildStep('SIGTERM', 50), restart, buildStep('SIGHUP', 20)],
  [buildStep('SIGTERM', 0), buildStep('SIGKILL', 300), restart, buildStep('SIGHUP', 0)],
  [buildStep('SIGKILL', 0), restart, buildStep('SIGKILL', 150), restart, buildStep('SIGHUP', 90)],
  [
    ...[buildStep('SIGTERM', 0), restart, buildStep('SIGTERM', 600), restart],
    ...Array.from({ length: REPEATED }, () => buildStep('SIGHUP', 250)),
  ],
];
/** Bit of SIGHUP in the signal masks of `/proc`. */
const SIGHUP_MASK = 1;

/** Whether a process has set a handler for SIGHUP. */
export function hasHangupHandler(pid: number): boolean {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const caught = /SigCgt:\s+(?<mask>[0-9a-f]+)/.exec(status)?.groups?.mask ?? '0';
    // eslint-disable-next-line no-bitwise -- The kernel reports the signals as a bit mask.
    return (Number.parseInt(caught.slice(-1), 16) & SIGHUP_MASK) !== 0;
  } catch {
    return false;
  }
}

/**
 * Sends SIGHUP unless the process has not set its handler yet: Node.js ends by SIGHUP before it runs
 * the program (KNOWN-RED.txt), and no program can prevent that.
 */
export function sendHangup(gateway: SoakGateway, areEarlySignalsSent: boolean): void {
  if (!areEarlySignalsSent && !hasHangupHandler(gateway.process.pid)) return;
  gateway.process.sendSignal('SIGHUP');
}

/** Sends the series that the variant selects; the process runs again when it resolves. */
export async function sendSignalSeries(
  options: SignalSeriesOptions,
  gateway: SoakGateway,
  variant: number,
): Promise<void> {
  const { timers, observations, areEarlySignalsSent } = options;
  const series = SERIES[Math.floor(variant * SERIES.length)] ?? [];

  const recordStop = (index: number): void => {
    const end = series
      .slice(index + 1)
      .find((step) => 'restart' in step || step.signal === 'SIGKILL');
    if (end !== undefined && 'signal' in end) return;
    const atMs = timers.getMonotonicMs();
    const stop = { gateway: gateway.callersAddress, atMs, endedMs: atMs, isDisrupted: true };
    const { exited } = gateway.process;
    void exited.then(() => {
      stop.endedMs = timers.getMonotonicMs();
      observations.plannedStops.push(stop);
    });
  };

  for (const [index, step] of series.entries()) {
    if ('restart' in step) {
      await restartGateway(timers, gateway);
    } else {
      await timers.waitFor(step.afterMs);
      if (step.signal === 'SIGTERM') recordStop(index);
      if (step.signal === 'SIGHUP') sendHangup(gateway, areEarlySignalsSent);
      else gateway.process.sendSignal(step.signal);
    }
  }
}
