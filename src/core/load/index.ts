export { checkSeeds, isLoopback, parseTarget } from './check-seeds.ts';
export { LoadOutcome, Timing } from './load-statistics.ts';
export type { LoadStatistics, TimingRow } from './load-statistics.ts';
export { renderHtmlReport } from './html-report.ts';
export { runLoad } from './load-run.ts';
export type { LoadRunOptions } from './load-run.ts';
export { scenarioSchema } from './scenario.ts';
export type { CustomerLoad, Scenario } from './scenario.ts';
export { formatTextReport } from './text-report.ts';
