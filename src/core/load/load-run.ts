import { Agent } from 'undici';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { createAddressCache } from '../caller/address-cache.ts';
import type { AddressCache } from '../caller/address-cache.ts';
import type { CallerOptions, EntryEndpoint } from '../caller/index.ts';
import { runCompletion } from '../caller/run-completion.ts';
import { sendNonIdempotentCall } from '../caller/send-non-idempotent-call.ts';
import { formatProblem } from '../errors/index.ts';
import type { TimerService } from '../timers/index.ts';
import { Outcome } from '../domain-types/index.ts';
import { checkSeeds } from './check-seeds.ts';
import { createStatisticsRecorder, LoadOutcome, Timing } from './load-statistics.ts';
import type { LoadStatistics } from './load-statistics.ts';
import type { CustomerLoad, Scenario } from './scenario.ts';
import { createSlowDispatcher } from './slow-reader.ts';

const MS_PER_S = 1_000;

/** Options of `runLoad`. */
export interface LoadRunOptions {
  scenario: Scenario;
  /** Seeds from the command line, which replace those of the scenario; may be on other machines. */
  targets: readonly EntryEndpoint[];
  timers: TimerService;
}

const ORDER_OUTCOMES: Readonly<Record<Outcome, LoadOutcome>> = {
  [Outcome.Done]: LoadOutcome.OrderDone,
  [Outcome.NotRun]: LoadOutcome.OrderNotRun,
  [Outcome.Unknown]: LoadOutcome.OrderUnknown,
};

/** Creates a seeded generator of random numbers from 0 (inclusive) to 1 (exclusive). */
function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Runs a scenario as an open-loop load: requests arrive at their configured rate, whether or not
 * earlier ones have ended.
 */
export async function runLoad(options: LoadRunOptions): Promise<LoadStatistics> {
  const { scenario, targets, timers } = options;
  const isLoopbackOnly = targets.length === 0;
  if (isLoopbackOnly) checkSeeds(scenario.seeds);
  const recorder = createStatisticsRecorder();
  const random = createRandom(scenario.randomSeed);
  const agent = new Agent();
  const slowAgent = createSlowDispatcher(new Agent(), timers, scenario.slowReadMs);
  const inFlight = new Set<Promise<void>>();
  const startMs = timers.getMonotonicMs();
  let arrivals = 0;
  let sequence = 0;

  const chooseInteger = ({ min, max }: { min: number; max: number }): number =>
    min + Math.floor(random() * (max - min + 1));

  const createCustomerAddressCache = (caller: CallerOptions): AddressCache =>
    createAddressCache(isLoopbackOnly ? { ...caller, checkAddresses: checkSeeds } : caller, agent);

  const runCompletionRequest = async (
    load: CustomerLoad,
    caller: CallerOptions,
    addressCache: AddressCache,
    scheduledMs: number,
  ): Promise<void> => {
    const isSlow = random() < load.slowReaderShare;
    const prompt = `${sequence++} `.padEnd(chooseInteger(load.promptCharacters), 'quote ');
    let lastChunkMs: number | undefined;
    const handleText = (): void => {
      const nowMs = timers.getMonotonicMs();
      if (lastChunkMs === undefined) recorder.recordTiming(Timing.FirstToken, nowMs - scheduledMs);
      else if (!isSlow) recorder.recordTiming(Timing.BetweenTokens, nowMs - lastChunkMs);
      lastChunkMs = nowMs;
    };
    const maxTokens = chooseInteger(load.answerTokens);
    const { model } = load;
    const completion = { model, prompt, maxTokens, handleText };
    const result = await runCompletion(
      caller,
      addressCache,
      isSlow ? slowAgent : agent,
      completion,
    );
    recorder.recordResumes(result.attempts - 1);
    if (!isSlow) recorder.recordTiming(Timing.WholeAnswer, timers.getMonotonicMs() - scheduledMs);
    recorder.recordOutcome(LoadOutcome.CompletionDone);
  };

  const runOrder = async (
    load: CustomerLoad,
    caller: CallerOptions,
    addressCache: AddressCache,
    scheduledMs: number,
  ): Promise<void> => {
    const order = {
      service: load.service ?? '',
      path: load.orderPath,
      body: { item: 'seedlings', quantity: 1 + Math.floor(random() * 9) },
    };
    // An order with an unknown outcome may have run, so it is never resent, not even under a new id.
    const { outcome } = await sendNonIdempotentCall(caller, addressCache, agent, order, ++sequence);
    recorder.recordTiming(Timing.Order, timers.getMonotonicMs() - scheduledMs);
    recorder.recordOutcome(ORDER_OUTCOMES[outcome] ?? LoadOutcome.OrderFailed);
  };

  const startRequest = (
    load: CustomerLoad,
    caller: CallerOptions,
    addressCache: AddressCache,
    scheduledMs: number,
  ): void => {
    arrivals++;
    recorder.recordArrival();
    if (inFlight.size >= scenario.concurrentRequests) {
      recorder.recordOutcome(LoadOutcome.Dropped);
      return;
    }
    const isOrder = load.service !== undefined && random() < load.orderShare;
    const run = isOrder ? runOrder : runCompletionRequest;
    const request = run(load, caller, addressCache, scheduledMs)
      .catch((error: unknown) => {
        recorder.recordProblem(formatProblem(error));
        recorder.recordOutcome(isOrder ? LoadOutcome.OrderFailed : LoadOutcome.CompletionFailed);
      })
      .finally(() => inFlight.delete(request));
    inFlight.add(request);
  };

  const runCustomer = async (load: CustomerLoad): Promise<void> => {
    const { customer, availabilityZone } = load;
    const seeds = isLoopbackOnly ? scenario.seeds : targets;
    const zoneOption = availabilityZone === undefined ? {} : { availabilityZone };
    const caller: CallerOptions = { customer, seeds, timers, ...zoneOption };
    const addressCache = createCustomerAddressCache(caller);
    const endMs = startMs + scenario.durationMs;
    let scheduledMs = startMs;
    while (scheduledMs < endMs && arrivals < scenario.maxRequests) {
      await timers.waitFor(scheduledMs - timers.getMonotonicMs());
      // Another customer may have reached the maximum number of requests in the meantime.
      if (arrivals < scenario.maxRequests) startRequest(load, caller, addressCache, scheduledMs);
      // Exponentially distributed intervals model independent callers (a Poisson process).
      scheduledMs += (-Math.log(1 - random()) * MS_PER_S) / load.requestsPerSecond;
    }
  };

  await Promise.all(scenario.customers.map(runCustomer));
  await Promise.all(inFlight);
  await Promise.all([agent.destroy(), slowAgent.destroy()]);
  return recorder.getStatistics();
}
