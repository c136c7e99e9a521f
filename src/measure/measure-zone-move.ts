import { buildTestConfiguration } from '../core/probing/fixtures/fake-documents.ts';
import { createColdTarget } from '../core/slots/fixtures/cold-target.ts';
import { startSlotCluster } from '../core/slots/fixtures/slot-cluster.ts';
import type { SlotCluster } from '../core/slots/fixtures/slot-cluster.ts';
import { createEventRecorder } from '../core/events/index.ts';
import { AvailabilityZoneState } from '../core/domain-types/index.ts';
import { createPolicyRun, Policy } from './policies.ts';
import type { MeasureRow } from './print-rows.ts';

const DAEMONS = 8;
const COLD_LIMIT = 2;
const SERVICE_TIMES_MS = [700];
const REQUEST_PERIOD_MS = 50;
const ZONE_OUT_MS = 20_000;
const COLD_MS = 10_000;
/** Assumed gossip delay: a change reaches the daemon with index N after N times this interval. */
const GOSSIP_STEP_MS = 100;
/** Polling interval of the baselines; the polls of the daemons are spread over the interval. */
const POLL_PERIOD_MS = 10_000;

function computeDelayMs(policy: Policy, index: number): number {
  if (policy === Policy.SharedSlots) return index * GOSSIP_STEP_MS;
  return ((index + 1) * POLL_PERIOD_MS) / DAEMONS;
}

function scheduleZoneState(
  cluster: SlotCluster,
  policy: Policy,
  version: number,
  state: AvailabilityZoneState,
): void {
  const availabilityZones = [{ name: 'sofia-a', region: 'sofia', state }];
  const configuration = buildTestConfiguration({ availabilityZones });
  cluster.daemons.forEach(({ documents }, index) => {
    cluster.timers.scheduleOnce(computeDelayMs(policy, index), () =>
      documents.setConfiguration(version, configuration),
    );
  });
}

async function measurePolicy(policy: Policy): Promise<MeasureRow> {
  const cluster = await startSlotCluster(DAEMONS, COLD_LIMIT);
  const { timers, targets, target } = cluster;
  const recorder = createEventRecorder('measure', timers);
  const otherTarget = createColdTarget(
    'order-b',
    COLD_LIMIT,
    SERVICE_TIMES_MS,
    timers,
    targets,
    recorder,
  );
  await timers.runForAsync(2_000);
  const run = createPolicyRun(policy, cluster, [target, otherTarget], COLD_LIMIT);
  let requestCount = 0;
  let lastSentAtMs = 0;
  let sentInZone = 0;
  let zoneOutAtMs = Infinity;
  let isZoneOut = false;
  const cancel = timers.subscribe(REQUEST_PERIOD_MS, () => {
    const daemon = cluster.daemons[requestCount++ % DAEMONS];
    if (daemon === undefined) return;
    const startMs = timers.getMonotonicMs();
    void run.sendRequest(daemon).then((vm) => {
      if (vm !== target.vm || !isZoneOut) return;
      sentInZone++;
      lastSentAtMs = startMs;
    });
  });
  await timers.runForAsync(5_000);
  isZoneOut = true;
  zoneOutAtMs = timers.getMonotonicMs();
  scheduleZoneState(cluster, policy, 2, AvailabilityZoneState.Out);
  await timers.runForAsync(ZONE_OUT_MS);
  isZoneOut = false;
  // The targets of the zone restarted meanwhile, so they are cold when the zone is back in use.
  target.setWarm(false);
  scheduleZoneState(cluster, policy, 3, AvailabilityZoneState.In);
  await timers.runForAsync(COLD_MS);
  target.setWarm(true);
  await timers.runForAsync(POLL_PERIOD_MS);
  cancel();
  cluster.stop();
  const lastWorkMs = sentInZone === 0 ? 0 : lastSentAtMs - zoneOutAtMs;
  return { policy, lastWorkMs, sentInZone, ...run.counts };
}

/**
 * Measures, for each policy, how long an availability zone still gets new requests after it is taken
 * out of use, and how much its cold targets are overloaded when it is put back.
 */
export async function measureZoneMove(): Promise<MeasureRow[]> {
  const rows: MeasureRow[] = [];
  for (const policy of Object.values(Policy)) rows.push(await measurePolicy(policy));
  return rows;
}
