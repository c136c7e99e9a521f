import type { Violation } from './checks.ts';
import { Rule } from './checks.ts';
import { DUTY_BOUNDS } from './gateway-settings.ts';
import type { DutyCall, Observations } from './observations.ts';

const MS_PER_SECOND = 1_000;
const WINDOW_MS = DUTY_BOUNDS.usage_window_s * MS_PER_SECOND;
const LATE_MS = DUTY_BOUNDS.usage_late_s * MS_PER_SECOND;
/** Requests by which a count may be off besides, for those that begin at the edge of a window. */
const EDGE_REQUESTS = 4;

function formatCounts({ counts }: DutyCall): string {
  return JSON.stringify(Object.entries(counts).sort());
}

function checkCounts(calls: readonly DutyCall[]): Violation[] {
  const accepted = new Map<number, DutyCall>();
  return calls.flatMap((call): Violation[] => {
    const first = accepted.get(call.window) ?? call;
    accepted.set(call.window, first);
    if (formatCounts(first) === formatCounts(call)) return [];
    const detail = `window ${call.window}: ${formatCounts(first)} of ${first.holder}, then ${formatCounts(call)} of ${call.holder}`;
    return [{ rule: Rule.OneHolder, detail }];
  });
}

function checkTokens(calls: readonly DutyCall[]): Violation[] {
  const holders = new Map<number, string>();
  let highest = 0;
  return calls.flatMap(({ holder, token }): Violation[] => {
    const known = holders.get(token) ?? holder;
    holders.set(token, known);
    const isLower = token < highest;
    highest = Math.max(highest, token);
    if (known === holder && !isLower) return [];
    const detail = isLower
      ? `${holder} sent token ${token} after ${highest}`
      : `${holder} and ${known} sent token ${token}`;
    return [{ rule: Rule.OneHolder, detail }];
  });
}

/** Finds a holder that acts again within the lease after another one has acted in between. */
function checkAlternation(calls: readonly DutyCall[]): Violation[] {
  return calls.flatMap((call, index): Violation[] => {
    const recent = calls
      .slice(0, index)
      .filter(({ atMs }) => call.atMs - atMs < DUTY_BOUNDS.lease_ms);
    const first = recent.findIndex(({ holder }) => holder === call.holder);
    const isAlternating =
      first >= 0 && recent.slice(first).some((one) => one.holder !== call.holder);
    if (!isAlternating) return [];
    return [{ rule: Rule.OneHolder, detail: `${call.holder} acted again too soon` }];
  });
}

/** Checks that the duties have one holder at a time, and one report for each window. */
export function findDutyViolations(
  { dutyCalls, pauses }: Observations,
  addressByHolder: ReadonlyMap<string, string>,
): Violation[] {
  // Calls right after a pause of their holder are not counted.
  const calls = dutyCalls.filter(
    ({ holder, atMs }) =>
      !pauses.some(
        ({ gateway, toMs }) =>
          gateway === addressByHolder.get(holder) &&
          atMs >= toMs &&
          atMs < toMs + DUTY_BOUNDS.thaw_slack_ms,
      ),
  );
  return [...checkCounts(dutyCalls), ...checkTokens(calls), ...checkAlternation(calls)];
}

/** Checks the reports of all windows of a run without faults, from `fromWallMs` to `toWallMs`. */
export function findUsageViolations(
  { dutyCalls, runs }: Observations,
  { fromWallMs, toWallMs, offsetMs }: { fromWallMs: number; toWallMs: number; offsetMs: number },
): Violation[] {
  const violations: Violation[] = [];
  const first = Math.ceil(fromWallMs / WINDOW_MS);
  for (let window = first; (window + 1) * WINDOW_MS + LATE_MS <= toWallMs; window++) {
    const truth = runs.filter(
      ({ atMs }) => Math.floor((atMs + offsetMs) / WINDOW_MS) === window,
    ).length;
    const call = dutyCalls.find((one) => one.window === window);
    const isLate = call === undefined || call.wallMs > (window + 1) * WINDOW_MS + LATE_MS;
    const reported = Object.values(call?.counts ?? {}).reduce((sum, count) => sum + count, 0);
    const allowed = truth * DUTY_BOUNDS.usage_tolerance + EDGE_REQUESTS;
    if (!isLate && Math.abs(reported - truth) <= allowed) continue;
    const detail = `window ${window}: ${reported} of ${truth} requests, ${isLate ? 'late or missing' : 'in time'}`;
    violations.push({ rule: Rule.UsageReported, detail });
  }
  return violations;
}
