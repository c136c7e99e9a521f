import { mkdirSync, mkdtempSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createTimerService } from '../core/timers/index.ts';
import type { RunningProcess } from '../demo/processes.ts';
import { readResidentMib } from '../demo/run-demo.ts';
import { waitUntil } from '../demo/wait-until.ts';
import { createDemoCluster } from '../demo/cluster.ts';
import { printRows } from './print-rows.ts';
import type { MeasureRow } from './print-rows.ts';

/*
 * Measures CPU time and resident memory of real entry daemons and controllers on loopback while no
 * requests arrive. They still probe all engines and replicate leases and allocations. Run
 * `npm run build` first.
 */

const DAEMON_COUNTS = [2, 4, 8];
const ENGINES = 61;
const SETTLE_MS = 5_000;
const MEASURE_MS = 10_000;
const FORM_DEADLINE_MS = 60_000;
const OUTPUT_FOLDER = 'out';

/** Clock ticks per second of the CPU times in /proc on Linux. */
const TICKS_PER_SECOND = 100;

/** Indexes after the command name in /proc/PID/stat: fields 12 and 13, user and system time. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

const timers = createTimerService();

function readTicks(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
}

interface ProcessCost {
  cpuPercent: number;
  residentMib: number;
}

async function measureCosts(processes: readonly RunningProcess[]): Promise<ProcessCost[]> {
  const startMs = timers.getMonotonicMs();
  const before = processes.map(({ pid }) => readTicks(pid));
  await timers.waitFor(MEASURE_MS);
  const seconds = (timers.getMonotonicMs() - startMs) / 1_000;
  return processes.map(({ pid }, index) => ({
    cpuPercent: ((readTicks(pid) - (before[index] ?? 0)) / TICKS_PER_SECOND / seconds) * 100,
    residentMib: readResidentMib(pid),
  }));
}

function computeMean(values: readonly number[]): number {
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  return Math.round(mean * 100) / 100;
}

function buildRow(role: string, daemons: number, costs: readonly ProcessCost[]): MeasureRow {
  return {
    role,
    daemons,
    engines: ENGINES,
    meanCpuPercent: computeMean(costs.map(({ cpuPercent }) => cpuPercent)),
    maxCpuPercent: computeMean([Math.max(...costs.map(({ cpuPercent }) => cpuPercent))]),
    meanResidentMib: computeMean(costs.map(({ residentMib }) => residentMib)),
  };
}

async function measureFleet(daemons: number): Promise<MeasureRow[]> {
  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  const workFolder = mkdtempSync(join(OUTPUT_FOLDER, 'idle-'));
  const size = { entries: daemons, engines: ENGINES, services: 3, coldMs: 200, tokenMs: 5 };
  const cluster = await createDemoCluster({ ...size, buildFolder: 'dist', workFolder, timers });
  try {
    await cluster.startStandIns();
    const { entries, platformPort } = cluster.topology;
    const entryProcesses = entries.map(cluster.startEntry);
    await Promise.all(entries.map(cluster.waitForEntry));
    const controllers = entries.map(cluster.startController);
    await cluster.runOperator('apply', cluster.writeDeclaration(), '--base', '0');
    await waitUntil('formation of all groups', timers, FORM_DEADLINE_MS, async () => {
      const text = JSON.stringify(
        await cluster.sendControlRequest(platformPort, '/objects/allocation'),
      );
      const serving = text.split('"state":"serving"').length - 1;
      return serving === Math.floor((ENGINES - 1) / 3) ? true : undefined;
    });
    await timers.waitFor(SETTLE_MS);
    const costs = await measureCosts([...entryProcesses, ...controllers]);
    return [
      buildRow('entry daemon', daemons, costs.slice(0, daemons)),
      buildRow('controller', daemons, costs.slice(daemons)),
    ];
  } finally {
    await cluster.runner.stopAll();
  }
}

const rows: MeasureRow[] = [];
for (const daemons of DAEMON_COUNTS) rows.push(...(await measureFleet(daemons)));
printRows(rows, process.argv.includes('--json'));
