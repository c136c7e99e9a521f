import type { TimerService, Unsubscribe } from '../../core/timers/index.ts';
import { Priority } from '../../core/domain-types/index.ts';
import type { EngineBehaviour } from './settings.ts';
import { countPromptTokens, createCompletionText } from './completion-text.ts';
import { StreamState } from './types.ts';
import type { CompletionRequest, EngineStream } from './types.ts';

const PRIORITY_ORDER: readonly string[] = [Priority.High, Priority.Normal, Priority.Low];

/** Settings of a batch, and callbacks into the engine member that owns it. */
export interface BatchOptions {
  behaviour: EngineBehaviour;
  timers: TimerService;
  createId: () => string;
  isFrozen: () => boolean;
  getSlowMs: () => number;
  handleFinished: () => void;
  handleMemoryExceeded: () => void;
}

/** Streams of one engine member, generated together as in continuous batching. */
export interface Batch {
  addRequest(request: CompletionRequest): EngineStream;
  findStream(id: string): EngineStream | undefined;
  cancelStream(stream: EngineStream): void;
  countRunning(): number;
  countQueued(): number;
  countHeldTokens(): number;
  /** Marks all active streams as broken, as a crash would, and removes all streams. */
  reset(): void;
}

function isActive(stream: EngineStream): boolean {
  return stream.state === StreamState.Queued || stream.state === StreamState.Running;
}

function getPriorityRank(stream: EngineStream): number {
  const index = PRIORITY_ORDER.indexOf(stream.request.priority);
  return index === -1 ? PRIORITY_ORDER.indexOf(Priority.Normal) : index;
}

/** Creates a batch that adds one token to each running stream every `tokenMs`. */
export function createBatch(options: BatchOptions): Batch {
  const { behaviour, timers } = options;
  const streams = new Map<string, EngineStream>();
  const cancelRemovals = new Set<Unsubscribe>();
  let cancelSteps: Unsubscribe | undefined;
  let blockedUntilMs = 0;

  const listByState = (state: StreamState): EngineStream[] =>
    [...streams.values()].filter((stream) => stream.state === state);

  const countHeldTokens = (): number =>
    [...streams.values()]
      .filter(isActive)
      .reduce((sum, { promptTokens, endOffset }) => sum + promptTokens + endOffset, 0);

  const setState = (stream: EngineStream, state: StreamState): void => {
    stream.state = state;
    stream.listener?.();
  };

  const finishStream = (stream: EngineStream): void => {
    setState(stream, StreamState.Finished);
    const cancel = timers.scheduleOnce(behaviour.keepFinishedMs, () => {
      cancelRemovals.delete(cancel);
      streams.delete(stream.id);
    });
    cancelRemovals.add(cancel);
    options.handleFinished();
  };

  const startQueued = (): void => {
    const queued = listByState(StreamState.Queued).sort(
      (left, right) => getPriorityRank(left) - getPriorityRank(right),
    );
    const freeSlots = behaviour.batchRequests - listByState(StreamState.Running).length;
    queued.slice(0, Math.max(0, freeSlots)).forEach((stream) => {
      stream.state = StreamState.Running;
      stream.firstTokenDueMs = timers.getMonotonicMs() + behaviour.firstTokenMs;
    });
  };

  const addToken = (stream: EngineStream): void => {
    const unread = stream.endOffset - (stream.readOffset ?? stream.endOffset);
    if (stream.firstTokenDueMs > timers.getMonotonicMs() || unread >= behaviour.unreadTokens)
      return;
    if (stream.endOffset >= stream.request.maxTokens) {
      finishStream(stream);
      return;
    }
    stream.endOffset++;
    if (stream.endOffset >= stream.request.maxTokens) finishStream(stream);
    else stream.listener?.();
  };

  const runStep = (): void => {
    const nowMs = timers.getMonotonicMs();
    if (options.isFrozen() || nowMs < blockedUntilMs) return;
    if (options.getSlowMs() > 0) blockedUntilMs = nowMs + options.getSlowMs();
    startQueued();
    listByState(StreamState.Running).forEach(addToken);
    if (countHeldTokens() > behaviour.capacityTokens) options.handleMemoryExceeded();
    if ([...streams.values()].some(isActive)) return;
    cancelSteps?.();
    cancelSteps = undefined;
  };

  return {
    addRequest(request) {
      const stream: EngineStream = {
        id: options.createId(),
        request,
        state: StreamState.Queued,
        firstOffset: request.continuation.length,
        endOffset: request.continuation.length,
        readOffset: undefined,
        promptTokens: countPromptTokens(request.prompt),
        firstTokenDueMs: 0,
        getText: createCompletionText(request.model, request.prompt),
        listener: undefined,
      };
      streams.set(stream.id, stream);
      startQueued();
      cancelSteps ??= timers.subscribe(behaviour.tokenMs, runStep);
      if (countHeldTokens() > behaviour.capacityTokens) options.handleMemoryExceeded();
      return stream;
    },
    findStream: (id) => streams.get(id),
    cancelStream(stream) {
      if (isActive(stream)) setState(stream, StreamState.Cancelled);
      streams.delete(stream.id);
    },
    countRunning: () => listByState(StreamState.Running).length,
    countQueued: () => listByState(StreamState.Queued).length,
    countHeldTokens,
    reset() {
      const broken = [...streams.values()].filter(isActive);
      streams.clear();
      cancelRemovals.forEach((cancel) => cancel());
      cancelRemovals.clear();
      broken.forEach((stream) => setState(stream, StreamState.Broken));
      cancelSteps?.();
      cancelSteps = undefined;
    },
  };
}
