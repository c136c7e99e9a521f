import type { AttemptIds, EngineClient, EngineStreamHandlers } from '../core/targets/index.ts';

/** Token counts of all engines in a measurement. */
export interface EngineUsage {
  /** Tokens in the KV cache now. */
  heldTokens: number;
  /** Tokens of prompts and continuations that were prefilled. */
  prefilledTokens: number;
  generatedTokens: number;
}

/** Simulated engines that generate one token for every running stream at each step. */
export interface SimulatedEngine extends EngineClient {
  runStep(): void;
  getUsage(): EngineUsage;
}

interface RunningStream extends AttemptIds {
  handlers: EngineStreamHandlers;
  endOffset: number;
  total: number;
}

const CHARACTERS_PER_TOKEN = 4;

/** Returns the text of the token at an offset, about as long as a word. */
export function buildTokenText(offset: number): string {
  return `w${offset % 1_000} `;
}

/**
 * Creates the engines. A stream keeps its tokens in the KV cache until it ends or is cancelled, and
 * ends after `answerTokens` tokens at most.
 */
export function createSimulatedEngine(answerTokens: number): SimulatedEngine {
  const streams = new Map<string, RunningStream>();
  const usage: EngineUsage = { heldTokens: 0, prefilledTokens: 0, generatedTokens: 0 };
  const promptTokens = new Map<string, number>();
  let started = 0;

  const removeStream = (id: string): void => {
    const stream = streams.get(id);
    if (stream === undefined) return;
    usage.heldTokens -= (promptTokens.get(id) ?? 0) + stream.endOffset;
    streams.delete(id);
    promptTokens.delete(id);
  };

  return {
    startStream(_, { request, attempt, prompt, maxTokens, continuation }, handlers) {
      const id = `s${++started}`;
      const endOffset = continuation.length;
      const held = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
      const total = Math.min(answerTokens, maxTokens);
      streams.set(id, { request, attempt, handlers, endOffset, total });
      promptTokens.set(id, held);
      usage.heldTokens += held + endOffset;
      usage.prefilledTokens += held + endOffset;
      queueMicrotask(() =>
        handlers.handleOpen({ streamId: id, instanceId: '', warm: true, load: undefined }),
      );
      return { close: () => undefined };
    },
    resumeStream() {
      throw new Error('resumeStream is not supported: connections do not fail in this measurement');
    },
    stopStream(_, id) {
      removeStream(id);
      return Promise.resolve(true);
    },
    runStep() {
      streams.forEach((stream, id) => {
        const { request, attempt, handlers, total } = stream;
        const offset = stream.endOffset++;
        usage.heldTokens++;
        usage.generatedTokens++;
        handlers.handleToken({ request, attempt, offset, text: buildTokenText(offset) });
        if (stream.endOffset < total) return;
        removeStream(id);
        handlers.handleEnd({ request, attempt, total });
      });
    },
    getUsage: () => usage,
  };
}
