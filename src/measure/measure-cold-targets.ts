import { startSlotCluster } from '../core/slots/fixtures/slot-cluster.ts';
import { createPolicyRun, Policy } from './policies.ts';
import type { MeasureRow } from './print-rows.ts';

const DAEMONS = 8;
const COLD_LIMIT = 2;
const CYCLES = 4;
const WARM_MS = 5_000;
const COLD_MS = 15_000;
const REQUEST_PERIOD_MS = 50;

async function measurePolicy(policy: Policy): Promise<MeasureRow> {
  const cluster = await startSlotCluster(DAEMONS, COLD_LIMIT);
  const run = createPolicyRun(policy, cluster, [cluster.target], COLD_LIMIT);
  let requestCount = 0;
  const cancel = cluster.timers.subscribe(REQUEST_PERIOD_MS, () => {
    const daemon = cluster.daemons[requestCount++ % DAEMONS];
    if (daemon !== undefined) void run.sendRequest(daemon);
  });
  for (let cycle = 0; cycle < CYCLES; cycle++) {
    cluster.target.setWarm(true);
    await cluster.timers.runForAsync(WARM_MS);
    cluster.target.setWarm(false);
    await cluster.timers.runForAsync(COLD_MS);
  }
  cancel();
  cluster.stop();
  return { policy, ...run.counts };
}

/**
 * Measures, for each policy, the load of one target that becomes cold 4 times for 15 s each, at
 * 20 requests/s.
 */
export async function measureColdTargets(): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = [];
  for (const policy of Object.values(Policy)) rows.push(await measurePolicy(policy));
  return rows;
}
