import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

const US_PER_MS = 1_000;
const MAX_TRACKABLE_US = 3_600_000_000;
const PERCENTILES = [50, 90, 95, 99, 99.9] as const;

/** Durations that a load run measures. */
export enum Timing {
  /** From the scheduled arrival of the request to the first text. */
  FirstToken = 'first-token',
  /** Between two chunks of an answer; slow readers are not measured. */
  BetweenTokens = 'between-tokens',
  /** From the scheduled arrival of the request to the end of the answer. */
  WholeAnswer = 'whole-answer',
  /** From the scheduled arrival of an order to its outcome. */
  Order = 'order',
}

/** Outcomes of the requests of a load run. */
export enum LoadOutcome {
  CompletionDone = 'completion-done',
  CompletionFailed = 'completion-failed',
  OrderDone = 'order-done',
  OrderNotRun = 'order-not-run',
  OrderUnknown = 'order-unknown',
  OrderFailed = 'order-failed',
  /** Not sent, because too many requests were in flight. */
  Dropped = 'dropped',
}

/** Latency statistics of one duration, in milliseconds. */
export interface TimingRow {
  timing: Timing;
  count: number;
  meanMs: number;
  /** Values at the percentiles 50, 90, 95, 99 and 99.9. */
  percentilesMs: number[];
  maxMs: number;
}

/** Statistics of a load run. */
export interface LoadStatistics {
  arrivals: number;
  /** Number of attempts beyond the first, summed over all completed answers. */
  resumes: number;
  outcomes: Record<LoadOutcome, number>;
  timings: TimingRow[];
  /** Number of occurrences of each distinct problem; only the first 20 distinct ones are counted. */
  problems: Record<string, number>;
}

/** Collects the statistics of a load run. */
export interface StatisticsRecorder {
  recordTiming(timing: Timing, durationMs: number): void;
  recordOutcome(outcome: LoadOutcome): void;
  recordArrival(): void;
  recordResumes(count: number): void;
  recordProblem(problem: string): void;
  getStatistics(): LoadStatistics;
}

/** Returns the percentiles that a timing row contains, in its order. */
export function listPercentiles(): readonly number[] {
  return PERCENTILES;
}

function toMs(valueUs: number): number {
  return Math.round(valueUs / (US_PER_MS / 100)) / 100;
}

function buildRow(timing: Timing, histogram: Histogram): TimingRow {
  const { totalCount, mean, maxValue } = histogram;
  return {
    timing,
    count: totalCount,
    meanMs: totalCount === 0 ? 0 : toMs(mean),
    percentilesMs: PERCENTILES.map((percentile) =>
      toMs(histogram.getValueAtPercentile(percentile)),
    ),
    maxMs: toMs(maxValue),
  };
}

const MAX_PROBLEMS = 20;

/** Creates the recorder for the statistics of one load run. */
export function createStatisticsRecorder(): StatisticsRecorder {
  const histograms = new Map(
    Object.values(Timing).map((timing) => [
      timing,
      build({ highestTrackableValue: MAX_TRACKABLE_US, numberOfSignificantValueDigits: 3 }),
    ]),
  );
  const outcomes = Object.fromEntries(
    Object.values(LoadOutcome).map((outcome) => [outcome, 0]),
  ) as Record<LoadOutcome, number>;
  const problems = new Map<string, number>();
  let arrivals = 0;
  let resumes = 0;
  return {
    recordTiming(timing, durationMs) {
      const valueUs = Math.min(MAX_TRACKABLE_US, Math.max(0, Math.round(durationMs * US_PER_MS)));
      histograms.get(timing)?.recordValue(valueUs);
    },
    recordOutcome(outcome) {
      outcomes[outcome]++;
    },
    recordArrival() {
      arrivals++;
    },
    recordResumes(count) {
      resumes += count;
    },
    recordProblem(problem) {
      if (problems.has(problem) || problems.size < MAX_PROBLEMS) {
        problems.set(problem, (problems.get(problem) ?? 0) + 1);
      }
    },
    getStatistics: () => ({
      arrivals,
      resumes,
      outcomes: { ...outcomes },
      timings: [...histograms].map(([timing, histogram]) => buildRow(timing, histogram)),
      problems: Object.fromEntries(problems),
    }),
  };
}
