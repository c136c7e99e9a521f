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
import { Outcome } from '../world/index.ts';
import { checkSeeds } from './check-seeds.ts';
import { createFigureRecorder, LoadOutcome, Timing } from './figures.ts';
import type { LoadFigures } from './figures.ts';
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

const OUTCOMES: Readonly<Record<Outcome, LoadOutcome>> = {
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
export async function runLoad(options: LoadRunOptions): Promise<LoadFigures> {
  const { scenario, targets, timers } = options;
  const isLoopbackOnly = targets.length === 0;
  if (isLoopbackOnly) checkSeeds(scenario.seeds);
  const figures = createFigureRecorder();
  const random = createRandom(scenario.randomSeed);
  const agent = new Agent();
  const slowAgent = createSlowDispatcher(new Agent(), timers, scenario.slowReadMs);
  const inFlight = new Set<Promise<void>>();
  const startMs = timers.getMonotonicMs();
  let arrivals = 0;
  let sequence = 0;

  const chooseNumber = ({ min, max }: { min: number; max: number }): number =>
    min + Math.floor(random() * (max - min + 1));

  const createBook = (caller: CallerOptions): AddressCache =>
    createAddressCache(isLoopbackOnly ? { ...caller, checkAddresses: checkSeeds } : caller, agent);

  const runAnswer = async (
    load: CustomerLoad,
    caller: CallerOptions,
    book: AddressCache,
    dueMs: number,
  ): Promise<void> => {
    const isSlow = random() < load.slowReaderShare;
    const prompt = `${sequence++} `.padEnd(chooseNumber(load.promptCharacters), 'quote ');
    let readMs: number | undefined;
    const handleText = (): void => {
      const nowMs = timers.getMonotonicMs();
      if (readMs === undefined) figures.recordTiming(Timing.FirstToken, nowMs - dueMs);
      else if (!isSlow) figures.recordTiming(Timing.BetweenTokens, nowMs - readMs);
      readMs = nowMs;
    };
    const maxTokens = chooseNumber(load.answerTokens);
    const { model } = load;
    const wanted = { model, prompt, maxTokens, handleText };
    const result = await runCompletion(caller, book, isSlow ? slowAgent : agent, wanted);
    figures.recordResumes(result.attempts - 1);
    if (!isSlow) figures.recordTiming(Timing.WholeAnswer, timers.getMonotonicMs() - dueMs);
    figures.recordOutcome(LoadOutcome.CompletionDone);
  };

  const runOrder = async (
    load: CustomerLoad,
    caller: CallerOptions,
    book: AddressCache,
    dueMs: number,
  ): Promise<void> => {
    const order = {
      service: load.service ?? '',
      path: load.orderPath,
      body: { item: 'seedlings', quantity: 1 + Math.floor(random() * 9) },
    };
    // An order with an unknown outcome may have run, so it is never resent, not even under a new id.
    const { outcome } = await sendNonIdempotentCall(caller, book, agent, order, ++sequence);
    figures.recordTiming(Timing.Order, timers.getMonotonicMs() - dueMs);
    figures.recordOutcome(OUTCOMES[outcome] ?? LoadOutcome.OrderFailed);
  };

  const startRequest = (
    load: CustomerLoad,
    caller: CallerOptions,
    book: AddressCache,
    dueMs: number,
  ): void => {
    arrivals++;
    figures.recordArrival();
    if (inFlight.size >= scenario.concurrentRequests) {
      figures.recordOutcome(LoadOutcome.Dropped);
      return;
    }
    const isOrder = load.service !== undefined && random() < load.orderShare;
    const run = isOrder ? runOrder : runAnswer;
    const request = run(load, caller, book, dueMs)
      .catch((error: unknown) => {
        figures.recordProblem(formatProblem(error));
        figures.recordOutcome(isOrder ? LoadOutcome.OrderFailed : LoadOutcome.CompletionFailed);
      })
      .finally(() => inFlight.delete(request));
    inFlight.add(request);
  };

  const runCustomer = async (load: CustomerLoad): Promise<void> => {
    const { customer, availabilityZone } = load;
    const seeds = isLoopbackOnly ? scenario.seeds : targets;
    const place = availabilityZone === undefined ? {} : { availabilityZone };
    const caller: CallerOptions = { customer, seeds, timers, ...place };
    const book = createBook(caller);
    const endMs = startMs + scenario.durationMs;
    let dueMs = startMs;
    while (dueMs < endMs && arrivals < scenario.maxRequests) {
      await timers.waitFor(dueMs - timers.getMonotonicMs());
      // Another customer may have reached the maximum number of requests in the meantime.
      if (arrivals < scenario.maxRequests) startRequest(load, caller, book, dueMs);
      // Exponentially distributed intervals model independent callers (a Poisson process).
      dueMs += (-Math.log(1 - random()) * MS_PER_S) / load.requestsPerSecond;
    }
  };

  await Promise.all(scenario.customers.map(runCustomer));
  await Promise.all(inFlight);
  await Promise.all([agent.destroy(), slowAgent.destroy()]);
  return figures.getFigures();
}
