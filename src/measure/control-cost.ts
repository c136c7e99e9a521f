/*
 * Measures the network traffic and CPU time that membership and document replication cost each
 * daemon, at several fleet sizes on a fake network, and prints them as a table or as JSON.
 */
import type { FakeFleet } from '../core/relay/fixtures/fake-fleet.ts';
import { createFakeFleet } from '../core/relay/fixtures/fake-fleet.ts';

const SEED = 20_260_104;
const SIZES: readonly number[] = [8, 16, 32, 64];
const GROUPS = 600;
/** With 64 daemons, the membership records of the start are retransmitted for about a minute. */
const WARM_UP_MS = 120_000;
const WARM_UP_STEP_MS = 100;
const MEASURE_MS = 124_000;
/** Interval between configuration changes: about 1,400 a day, the rate at the target size. */
const CHANGE_PERIOD_MS = 62_000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Mean cost per daemon. Traffic counts what a daemon sends; it receives as much on average. */
interface ControlCost {
  daemons: number;
  bytesPerSecond: number;
  callBytesPerSecond: number;
  datagramsPerSecond: number;
  /** CPU time of this process per daemon, including the fake network, in percent of a core. */
  cpuPercent: number;
}

/** Increase of each cost per added daemon, by linear least-squares regression. */
interface CostSlopes {
  bytesPerSecond: number;
  datagramsPerSecond: number;
  cpuPercent: number;
}

async function runChanges({ clock, writeConfiguration }: FakeFleet): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < MEASURE_MS; elapsedMs += CHANGE_PERIOD_MS) {
    writeConfiguration();
    await clock.runForAsync(CHANGE_PERIOD_MS);
  }
}

async function measureCost(daemons: number): Promise<ControlCost> {
  const fleet = await createFakeFleet({ daemons, seed: SEED, groups: GROUPS });
  fleet.writeConfiguration();
  await fleet.clock.runForAsync(WARM_UP_MS, WARM_UP_STEP_MS);
  fleet.network.resetTraffic();
  const cpuBefore = process.cpuUsage();
  await runChanges(fleet);
  const cpu = process.cpuUsage(cpuBefore);
  const counts = fleet.daemons.map(({ host }) => fleet.network.getTraffic(host.address));
  const daemonSeconds = (daemons * MEASURE_MS) / 1_000;
  const datagrams = counts.reduce((sum, count) => sum + count.datagrams, 0);
  const datagramBytes = counts.reduce((sum, count) => sum + count.datagramBytes, 0);
  const callBytes = counts.reduce((sum, count) => sum + count.callBytes, 0);
  const cpuSeconds = (cpu.user + cpu.system) / MICROSECONDS_PER_SECOND;
  return {
    daemons,
    bytesPerSecond: (datagramBytes + callBytes) / daemonSeconds,
    callBytesPerSecond: callBytes / daemonSeconds,
    datagramsPerSecond: datagrams / daemonSeconds,
    cpuPercent: (100 * cpuSeconds) / daemonSeconds,
  };
}

function computeSlope(
  costs: readonly ControlCost[],
  getCost: (cost: ControlCost) => number,
): number {
  const meanSize = costs.reduce((sum, cost) => sum + cost.daemons, 0) / costs.length;
  const meanCost = costs.reduce((sum, cost) => sum + getCost(cost), 0) / costs.length;
  const covariance = costs.reduce(
    (sum, cost) => sum + (cost.daemons - meanSize) * (getCost(cost) - meanCost),
    0,
  );
  const variance = costs.reduce((sum, cost) => sum + (cost.daemons - meanSize) ** 2, 0);
  return covariance / variance;
}

function formatTable(costs: readonly ControlCost[], slopes: CostSlopes): string {
  const rows = costs.map((cost) => [
    String(cost.daemons),
    cost.bytesPerSecond.toFixed(0),
    cost.callBytesPerSecond.toFixed(0),
    cost.datagramsPerSecond.toFixed(2),
    cost.cpuPercent.toFixed(3),
  ]);
  const slopeRow = [
    'per added daemon',
    slopes.bytesPerSecond.toFixed(2),
    '',
    slopes.datagramsPerSecond.toFixed(4),
    slopes.cpuPercent.toFixed(5),
  ];
  const header = ['daemons', 'B/s', 'of calls', 'datagrams/s', 'CPU %'];
  return [header, ...rows, slopeRow]
    .map(
      ([first = '', ...rest]) => first.padEnd(18) + rest.map((cell) => cell.padStart(13)).join(''),
    )
    .join('\n');
}

const costs: ControlCost[] = [];
// The first run includes JIT compilation, so its result is discarded.
await measureCost(SIZES[0] ?? 1);
for (const size of SIZES) costs.push(await measureCost(size));
const slopes: CostSlopes = {
  bytesPerSecond: computeSlope(costs, (cost) => cost.bytesPerSecond),
  datagramsPerSecond: computeSlope(costs, (cost) => cost.datagramsPerSecond),
  cpuPercent: computeSlope(costs, (cost) => cost.cpuPercent),
};
const text = process.argv.includes('--json')
  ? JSON.stringify({ seed: SEED, network: 'fake', costs, slopes }, null, 2)
  : `fake network, seed ${SEED}, one change every ${CHANGE_PERIOD_MS / 1_000} s\n${formatTable(costs, slopes)}`;
process.stdout.write(`${text}\n`);
