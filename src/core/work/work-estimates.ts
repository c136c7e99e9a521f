import { checkTokens, computeUsualWorkMs, computeWorkMs } from './compute-work.ts';
import type { RequestSizes, Work, WorkInput } from './types.ts';

/** Estimates the work of requests, and learns from how long they took. */
export interface WorkEstimates {
  /** Returns the work of a request; undefined if its caller or its service tells too little. */
  computeWork(input: WorkInput): Work | undefined;
  /** Records a request whose work is computed, once, when it arrives. */
  recordRequest(input: WorkInput): void;
  /** Records the time for which a request took a slot of a target, from its send to its end. */
  recordDuration(input: WorkInput, elapsedMs: number): void;
  /** Returns what requests took lately, as a multiple of the published times. */
  getObservedRatio(): number;
}

/** Weight of the newest value in the moving averages. */
const WEIGHT = 0.05;
/** Largest correction of an estimate, upwards and downwards. */
const MAX_RATIO = 8;
/** A prompt counts as at least this share of what other bodies of its size hold. */
const MIN_TOLD_SHARE = 0.5;
/** Quantile of a route's work from which a request is large. */
const LARGE_QUANTILE = 0.9;
/** Multiple of the work of usual sizes from which a request is large until the route is known. */
const INITIAL_LARGE_FACTOR = 2;
/** Step of the quantile estimate, as a share of its value. */
const QUANTILE_STEP = 0.02;
/** Routes and customers that are told apart; the one not seen for longest is forgotten. */
const MAX_RECORDS = 4_096;

/** Mean times of requests, in ms. */
interface MeanTimes {
  observedMs: number;
  publishedMs: number;
}

/** Sets the newest value of a key, and forgets the oldest key beyond the limit. */
function setNewest<Value>(records: Map<string, Value>, key: string, value: Value): void {
  records.delete(key);
  records.set(key, value);
  if (records.size <= MAX_RECORDS) return;
  const [oldest] = records.keys();
  if (oldest !== undefined) records.delete(oldest);
}

function mergeAverage(known: number, value: number): number {
  return known + WEIGHT * (value - known);
}

/** Adds a request to the mean times of a key; the first one sets them. */
function mergeTimes(records: Map<string, MeanTimes>, key: string, times: MeanTimes): void {
  const known = records.get(key) ?? times;
  setNewest(records, key, {
    observedMs: mergeAverage(known.observedMs, times.observedMs),
    publishedMs: mergeAverage(known.publishedMs, times.publishedMs),
  });
}

/** Computes the observed time as a multiple of the published one; 1 if nothing was observed. */
function computeRatio(times: MeanTimes | undefined): number {
  if (times === undefined) return 1;
  return Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, times.observedMs / times.publishedMs));
}

const findPace = ({ service, model }: WorkInput): number =>
  service.engine?.models.find(({ name }) => name === model)?.pace ?? 1;

const formatCustomerKey = ({ route, customer }: WorkInput): string => `${route}/${customer ?? ''}`;

/** Creates estimates that rely on the published times until requests have ended. */
export function createWorkEstimates(): WorkEstimates {
  /** Tokens that a byte of a body stands for, by route. */
  const tokensPerByte = new Map<string, number>();
  const routeTimes = new Map<string, MeanTimes>();
  const customerTimes = new Map<string, MeanTimes>();
  const largeFromMs = new Map<string, number>();
  let allTimes: MeanTimes | undefined;

  /** Corrects a prompt that is told far smaller than the body that holds it. */
  const correctSizes = ({ route, sizes }: WorkInput): RequestSizes => {
    const promptTokens = checkTokens(sizes.promptTokens);
    if (promptTokens === undefined) return sizes;
    const usualTokens = (tokensPerByte.get(route) ?? 0) * sizes.bodyBytes;
    return { ...sizes, promptTokens: Math.max(promptTokens, MIN_TOLD_SHARE * usualTokens) };
  };

  const computePublishedMs = (input: WorkInput): number | undefined => {
    const { engine } = input.service;
    if (engine === undefined) return undefined;
    return computeWorkMs(correctSizes(input), engine, findPace(input));
  };

  /** A customer whose requests take longer than it tells pays for it; less than that gains nothing. */
  const getRatio = (input: WorkInput): number =>
    Math.max(
      computeRatio(routeTimes.get(input.route)),
      computeRatio(customerTimes.get(formatCustomerKey(input))),
    );

  const computeMs = (input: WorkInput): number | undefined => {
    const publishedMs = computePublishedMs(input);
    return publishedMs === undefined ? undefined : publishedMs * getRatio(input);
  };

  /** Returns the work from which a request of the route is large, in ms. */
  const getLargeFromMs = (input: WorkInput): number => {
    const { engine } = input.service;
    const known = largeFromMs.get(input.route);
    if (known !== undefined || engine === undefined) return known ?? Infinity;
    const usualMs = computeUsualWorkMs(engine, findPace(input)) ?? Infinity;
    return INITIAL_LARGE_FACTOR * usualMs * getRatio(input);
  };

  const recordBytes = ({ route, sizes }: WorkInput): void => {
    const promptTokens = checkTokens(sizes.promptTokens);
    if (promptTokens === undefined || sizes.bodyBytes <= 0) return;
    const ratio = promptTokens / sizes.bodyBytes;
    const known = tokensPerByte.get(route) ?? ratio;
    // One request moves the average by a part of itself only, whatever it tells.
    setNewest(tokensPerByte, route, mergeAverage(known, Math.min(ratio, known * 2)));
  };

  return {
    computeWork(input) {
      const workMs = computeMs(input);
      if (workMs === undefined) return undefined;
      return { workMs, isLarge: workMs > getLargeFromMs(input) };
    },
    recordRequest(input) {
      recordBytes(input);
      const workMs = computeMs(input);
      if (workMs === undefined) return;
      const known = getLargeFromMs(input);
      const direction = workMs < known ? LARGE_QUANTILE - 1 : LARGE_QUANTILE;
      setNewest(largeFromMs, input.route, known + known * QUANTILE_STEP * direction);
    },
    recordDuration(input, elapsedMs) {
      const publishedMs = computePublishedMs(input);
      if (publishedMs === undefined || publishedMs <= 0) return;
      const times = { observedMs: elapsedMs, publishedMs };
      mergeTimes(routeTimes, input.route, times);
      mergeTimes(customerTimes, formatCustomerKey(input), times);
      allTimes = {
        observedMs: mergeAverage(allTimes?.observedMs ?? elapsedMs, elapsedMs),
        publishedMs: mergeAverage(allTimes?.publishedMs ?? publishedMs, publishedMs),
      };
    },
    getObservedRatio: () => computeRatio(allTimes),
  };
}
