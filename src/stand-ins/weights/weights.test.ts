import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { createTimerService } from '../../core/timers/index.ts';
import { createStandInWeights, weightsSettingsSchema } from './index.ts';
import type { StandInWeights } from './index.ts';

const timers = createTimerService();

async function startWeights(settings: object): Promise<StandInWeights> {
  const weights = createStandInWeights(
    weightsSettingsSchema.parse({ address: '127.0.0.1', port: 0, ...settings }),
    timers,
  );
  await weights.start();
  return weights;
}

async function sendLoad(weights: StandInWeights, vm: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${weights.port}/loads`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({ vm, model: 'assist-7b', modelVersion: '1' }),
  });
  await response.body.dump();
  return response.statusCode;
}

describe('createStandInWeights', () => {
  let weights: StandInWeights | undefined;

  afterEach(async () => {
    await weights?.stop();
    weights = undefined;
  });

  // If each load got the full rate, tests would not see how slowly groups form again.
  it('shares one rate between loads', async () => {
    weights = await startWeights({ bytesPerSecond: 10_000, defaultBytes: 1_000 });
    const store = weights;
    const startMs = timers.getMonotonicMs();
    await Promise.all(['vm-1', 'vm-2', 'vm-3'].map((vm) => sendLoad(store, vm)));
    expect(timers.getMonotonicMs() - startMs).toBeGreaterThanOrEqual(295);
    expect(
      store
        .listCompleted()
        .map(({ vm }) => vm)
        .sort(),
    ).toEqual(['vm-1', 'vm-2', 'vm-3']);
  });

  it('refuses loads while too many wait', async () => {
    weights = await startWeights({ waitingLoads: 0, bytesPerSecond: 10_000, defaultBytes: 1_000 });
    const store = weights;
    const statuses = await Promise.all(['vm-1', 'vm-2'].map((vm) => sendLoad(store, vm)));
    expect(statuses.sort()).toEqual([200, 429]);
    expect(store.countRefused()).toEqual(1);
  });
});
