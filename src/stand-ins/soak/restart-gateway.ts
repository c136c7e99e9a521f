import type { TimerService } from '../../core/timers/index.ts';
import { MAX_STOP_MS } from './checks.ts';
import type { SoakGateway } from './gateways.ts';
import { RESTART_DELAY_MS } from './gateways.ts';

/** SIGKILL of the platform after a stop that takes too long, which is a violation already. */
const KILL_MS = MAX_STOP_MS + 500;

/** Waits until the process of a gateway has ended, kills it if that takes too long, and starts it. */
export async function restartGateway(
  timers: Pick<TimerService, 'scheduleOnce' | 'waitFor'>,
  gateway: SoakGateway,
): Promise<void> {
  const { process } = gateway;
  const cancel = timers.scheduleOnce(KILL_MS, () => process.sendSignal('SIGKILL'));
  await process.exited;
  cancel();
  await timers.waitFor(RESTART_DELAY_MS);
  gateway.restart();
}
