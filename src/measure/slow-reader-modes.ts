import type { RoutableTarget } from '../core/probing/index.ts';
import { createAnswerStream, createBufferBudget } from '../core/streams/index.ts';
import type { AnswerDependencies, PlacementResult } from '../core/streams/index.ts';
import { createManualTimers } from '../core/timers/index.ts';
import { createSlowSink } from './slow-sink.ts';
import { buildTokenText, createSimulatedEngine } from './slow-reader-engine.ts';
import type { EngineUsage } from './slow-reader-engine.ts';

/** Callers, answer sizes and speeds of a measurement. */
export interface SlowReaderLoad {
  callers: number;
  promptTokens: number;
  answerTokens: number;
  tokenMs: number;
  readBytesPerSecond: number;
}

/** A strategy for serving slow readers, driven by simulated time. */
export interface SlowReaderMode {
  /** Runs all engines for the time of one token. */
  runStep(): Promise<void>;
  /** Lets every caller read as many bytes as it reads in one second. */
  readForOneSecond(): void;
  /** Returns the number of bytes that the daemon buffers for each caller. */
  listHeldBytes(): number[];
  getUsage(): EngineUsage;
  isFinished(): boolean;
}

const CHARACTERS_PER_TOKEN = 4;

/** Default size of the write buffer of a socket. */
const DEFAULT_SOCKET_BYTES = 16_384;

/** An engine pauses a stream when it is this many tokens ahead of its reader. */
const ENGINE_UNREAD_TOKENS = 4_096;

const TARGET: RoutableTarget = {
  id: 'assistant-0',
  vm: 'vm-1',
  address: '127.0.0.1',
  port: 1,
  availabilityZone: 'almaty-a',
  group: 'assistant-0',
  generation: 1,
  instanceId: '',
  warm: true,
  load: { running: 0, queued: 0, heldTokens: 0, capacityTokens: 0, coldLimit: 1, ageMs: 0 },
  loadAgeMs: 0,
  weight: 1,
  sharingDaemons: 1,
};

/** Serves the callers with the answer streams that the entry daemon uses. */
export function createDaemonMode(load: SlowReaderLoad): SlowReaderMode {
  const timers = createManualTimers();
  const engine = createSimulatedEngine(load.answerTokens);
  let ids = 0;
  const parts: AnswerDependencies = {
    timers,
    events: { record: () => undefined as never },
    metrics: { increment: () => undefined },
    engine,
    budget: createBufferBudget(),
    reportObservation: () => undefined,
    createId: () => String(++ids),
  };
  const placement = { target: TARGET, release: () => undefined };
  const acquirePlacement = (): Promise<PlacementResult> => Promise.resolve({ placement });
  const prompt = 'p'.repeat(load.promptTokens * CHARACTERS_PER_TOKEN);
  const answers = Array.from({ length: load.callers }, (_, index) => {
    const sink = createSlowSink();
    const request = {
      id: `r${index}`,
      model: 'kennel-assist',
      prompt,
      maxTokens: load.answerTokens,
      priority: 'normal',
    };
    return {
      sink,
      stream: createAnswerStream({
        dependencies: parts,
        request,
        placement,
        sink,
        acquirePlacement,
      }),
    };
  });
  return {
    async runStep() {
      // Lets the promises of placements and cancellations settle between two steps.
      await timers.runForAsync(load.tokenMs, load.tokenMs);
      engine.runStep();
    },
    readForOneSecond: () => answers.forEach(({ sink }) => sink.readText(load.readBytesPerSecond)),
    listHeldBytes: () => answers.map(({ stream }) => stream.getHeldBytes()),
    getUsage: engine.getUsage,
    isFinished: () => answers.every(({ sink }) => sink.isEnded()),
  };
}

interface BaselineCaller {
  /** Tokens that the daemon has read from the engine and the caller has not read yet. */
  buffer: string[];
  bufferBytes: number;
  tokensReadFromEngine: number;
  generatedTokenCount: number;
  isHeldByEngine: boolean;
}

/** Serves each caller from a plain token buffer of `maxBufferBytes`, without the daemon's limit. */
function createBaselineMode(load: SlowReaderLoad, maxBufferBytes: number): SlowReaderMode {
  const usage: EngineUsage = { heldTokens: 0, prefilledTokens: 0, generatedTokens: 0 };
  const callers: BaselineCaller[] = Array.from({ length: load.callers }, () => {
    usage.heldTokens += load.promptTokens;
    usage.prefilledTokens += load.promptTokens;
    return {
      buffer: [],
      bufferBytes: 0,
      tokensReadFromEngine: 0,
      generatedTokenCount: 0,
      isHeldByEngine: true,
    };
  });

  const generate = (caller: BaselineCaller): void => {
    const isAhead =
      caller.generatedTokenCount - caller.tokensReadFromEngine >= ENGINE_UNREAD_TOKENS;
    if (caller.generatedTokenCount >= load.answerTokens || isAhead) return;
    caller.generatedTokenCount++;
    usage.generatedTokens++;
    usage.heldTokens++;
  };

  const readFromEngine = (caller: BaselineCaller): void => {
    while (
      caller.tokensReadFromEngine < caller.generatedTokenCount &&
      caller.bufferBytes < maxBufferBytes
    ) {
      const text = buildTokenText(caller.tokensReadFromEngine++);
      caller.buffer.push(text);
      caller.bufferBytes += text.length;
    }
    if (!caller.isHeldByEngine || caller.tokensReadFromEngine < load.answerTokens) return;
    caller.isHeldByEngine = false;
    usage.heldTokens -= load.promptTokens + caller.generatedTokenCount;
  };

  const readByCaller = (caller: BaselineCaller): void => {
    let bytes = load.readBytesPerSecond;
    while (bytes > 0) {
      const text = caller.buffer.shift();
      if (text === undefined) return;
      bytes -= text.length;
      caller.bufferBytes -= text.length;
    }
  };

  return {
    runStep() {
      callers.forEach((caller) => {
        generate(caller);
        readFromEngine(caller);
      });
      return Promise.resolve();
    },
    readForOneSecond: () => callers.forEach(readByCaller),
    listHeldBytes: () => callers.map(({ bufferBytes }) => bufferBytes),
    getUsage: () => usage,
    isFinished: () =>
      callers.every(({ isHeldByEngine, buffer }) => !isHeldByEngine && buffer.length === 0),
  };
}

/** Baseline: the daemon reads everything from the engine and buffers it without limit. */
export function createUnboundedBufferMode(load: SlowReaderLoad): SlowReaderMode {
  return createBaselineMode(load, Number.POSITIVE_INFINITY);
}

/**
 * Baseline: the daemon buffers only as much as a socket does, then stops reading, so that the engine
 * keeps the rest of the stream.
 */
export function createBackpressureMode(load: SlowReaderLoad): SlowReaderMode {
  return createBaselineMode(load, DEFAULT_SOCKET_BYTES);
}
