import type { TimerService } from '../../core/timers/index.ts';
import type { SoakGateway } from './gateways.ts';
import type { Observations } from './observations.ts';

/** Pauses a gateway with SIGSTOP for a time in milliseconds, resumes it, and records the pause. */
export async function pauseGateway(
  timers: Pick<TimerService, 'getMonotonicMs' | 'waitFor'>,
  observations: Pick<Observations, 'pauses'>,
  gateway: SoakGateway,
  forMs: number,
): Promise<void> {
  const fromMs = timers.getMonotonicMs();
  gateway.process.sendSignal('SIGSTOP');
  await timers.waitFor(forMs);
  gateway.process.sendSignal('SIGCONT');
  const toMs = timers.getMonotonicMs();
  observations.pauses.push({ gateway: gateway.callersAddress, fromMs, toMs });
}
