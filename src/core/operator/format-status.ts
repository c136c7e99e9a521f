import type { ConvergenceReport, DaemonReport } from './convergence.ts';
import { ChangeState, DaemonState } from './convergence.ts';

const COLUMN_GAP = 2;

function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths = rows.reduce<number[]>(
    (result, row) => row.map((cell, index) => Math.max(result[index] ?? 0, cell.length)),
    [],
  );
  return rows.map((row) =>
    row
      .map((cell, index) => cell.padEnd((widths[index] ?? 0) + COLUMN_GAP))
      .join('')
      .trimEnd(),
  );
}

function formatDaemon(daemon: DaemonReport): string[] {
  const { name, state, version, availabilityZone, streams, leaving, problem } = daemon;
  const allocations = daemon.allocationsBehind ?? [];
  const remarks = [
    ...(leaving === true ? ['leaving'] : []),
    ...(allocations.length > 0 ? [`allocations behind: ${allocations.join(', ')}`] : []),
    ...(problem === undefined ? [] : [problem]),
  ];
  return [
    name,
    availabilityZone ?? '-',
    version === undefined ? '-' : String(version),
    state,
    streams === undefined ? '-' : String(streams),
    remarks.join('; '),
  ];
}

function formatMissing({ daemons, missing }: ConvergenceReport): string {
  const describe = (name: string): string => {
    const daemon = daemons.find((report) => report.name === name);
    return daemon?.version === undefined ? `${name} (no answer)` : `${name} (${daemon.version})`;
  };
  return missing.map(describe).join(', ');
}

/** Formats the state of the change as one line. */
function formatSummary(report: ConvergenceReport): string {
  const { state, version, daemons, missing } = report;
  const counted = daemons.filter((daemon) => daemon.state !== DaemonState.Gone).length;
  if (state === ChangeState.Settled) {
    return `All ${counted} daemons have version ${version}. No change is half-way.`;
  }
  if (counted === 0) {
    return `Version ${version} is in force. No daemon answered; check the setting daemons.`;
  }
  if (state === ChangeState.NotStarted) {
    return `Version ${version} is in force at the object API, but no daemon reports it; missing: ${formatMissing(report)}.`;
  }
  if (state === ChangeState.Unknown) {
    const others =
      missing.length === 0 ? 'all daemons have it' : `missing: ${formatMissing(report)}`;
    return `The object API does not answer, so a newer version may be in force. The newest version that a daemon reports is ${version}; ${others}.`;
  }
  const currentCount = counted - missing.length;
  return `Version ${version} is half-way: ${currentCount} of ${counted} daemons have it; missing: ${formatMissing(report)}.`;
}

/** Formats the state of the change as one line, followed by a table with one row for each daemon. */
export function formatConvergence(report: ConvergenceReport): string[] {
  const header = ['daemon', 'zone', 'version', 'state', 'streams', ''];
  const rows = report.daemons.map(formatDaemon);
  return [formatSummary(report), ...(rows.length === 0 ? [] : formatTable([header, ...rows]))];
}
