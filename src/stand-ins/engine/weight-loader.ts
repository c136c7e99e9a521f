import { request } from 'undici';
import type { TimerService } from '../../core/timers/index.ts';
import type { EngineBehaviour } from './settings.ts';

const HTTP_OK = 200;
const DEFAULT_RETRY_MS = 500;
const MS_PER_S = 1_000;

/** Body of `POST /loads`: the weights to load and the VM that loads them. */
export interface WeightLoadRequest {
  vm: string;
  model: string;
  modelVersion: string;
}

/** Returns 0 when the weights are loaded, otherwise the time in milliseconds before a retry. */
async function requestLoad(weightStore: string, weights: WeightLoadRequest): Promise<number> {
  const response = await request(new URL('/loads', weightStore), {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(weights),
    headersTimeout: 0,
  });
  await response.body.dump();
  if (response.statusCode === HTTP_OK) return 0;
  const seconds = Number(response.headers['retry-after']);
  return Number.isFinite(seconds) && seconds > 0 ? seconds * MS_PER_S : DEFAULT_RETRY_MS;
}

/**
 * Loads weights through the weight store, and retries until it succeeds or the signal aborts.
 * Without a weight store it waits for `loadMs`.
 */
export async function loadWeights(
  behaviour: EngineBehaviour,
  timers: TimerService,
  weights: WeightLoadRequest,
  signal: AbortSignal,
): Promise<void> {
  const { weightStore } = behaviour;
  if (weightStore === undefined) {
    await timers.waitFor(behaviour.loadMs, signal);
    return;
  }
  while (!signal.aborted) {
    const retryMs = await requestLoad(weightStore, weights).catch(() => DEFAULT_RETRY_MS);
    if (retryMs === 0) return;
    await timers.waitFor(retryMs, signal);
  }
}
