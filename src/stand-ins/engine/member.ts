import type { TimerService, Unsubscribe } from '../../core/timers/index.ts';
import { EnginePhase } from '../../core/domain-types/index.ts';
import type { EngineOrder, TargetLoad, TargetStatus } from '../../core/domain-types/index.ts';
import { createBatch } from './batch.ts';
import { createReplicaMembership } from './replica-membership.ts';
import type { MemberReport } from './replica-membership.ts';
import type { EngineBehaviour, EngineMemberSettings } from './settings.ts';
import type { CompletionRequest, EngineCounters, EngineStream } from './types.ts';
import { loadWeights } from './weight-loader.ts';

/** Reason why an engine member refused a request or an order; sent as `error` in the response. */
export enum Refusal {
  StaleEpoch = 'stale-epoch',
  NotLeader = 'not-leader',
  NotReady = 'not-ready',
  WrongGroup = 'wrong-group',
  ContinuationMismatch = 'continuation-mismatch',
  Overloaded = 'overloaded',
}

/** One engine member: its state and the operations that its routes call. */
export interface EngineMember {
  counters: EngineCounters;
  getStatus(): TargetStatus;
  /** Applies an order; returns the reason if it is refused. */
  applyOrder(order: EngineOrder): Refusal | undefined;
  handleMemberReport(report: MemberReport): boolean;
  /** Queues a request; returns its stream, or the reason if it is refused. */
  addRequest(
    request: CompletionRequest,
    group?: string,
    generation?: number,
  ): EngineStream | Refusal;
  findStream(id: string): EngineStream | undefined;
  cancelStream(stream: EngineStream): void;
  /** Makes the member cold from now on, until `coldMs` or `coldRequests` is reached. */
  setCold(): void;
  /** Simulates a restart: a new instance id, no weights, no order and no streams. */
  reset(): void;
  start(): void;
  stop(): void;
}

/** Dependencies of an engine member. */
export interface EngineMemberOptions {
  settings: EngineMemberSettings;
  behaviour: EngineBehaviour;
  timers: TimerService;
  createId: () => string;
  faults: { slowMs: number; down: boolean; frozen: boolean; ignoreFencing: boolean };
}

function createCounters(): EngineCounters {
  return {
    completions: 0,
    coldOverloads: 0,
    memoryOverloads: 0,
    memberFailures: 0,
    continuationMismatches: 0,
    staleOrders: 0,
    ordersApplied: 0,
    loads: 0,
    cancelled: 0,
    resumed: 0,
  };
}

/** Creates an engine member, which simulates orders, weight loading, cold starts and failures. */
export function createEngineMember(options: EngineMemberOptions): EngineMember {
  const { settings, behaviour, timers, createId, faults } = options;
  const counters = createCounters();
  let instanceId = createId();
  let order: EngineOrder | undefined;
  let epoch = 0;
  let phase = EnginePhase.Empty;
  let loadedWeights = '';
  let coldSinceMs = 0;
  let coldCompletions = 0;
  let isCold = false;
  let loadController: AbortController | undefined;
  let subscriptions: Unsubscribe[] = [];
  let load: Omit<TargetLoad, 'ageMs'>;
  let loadSampledMs = timers.getMonotonicMs();

  const isWarm = (): boolean => {
    if (!isCold) return true;
    const isColdTimeOver = timers.getMonotonicMs() - coldSinceMs >= behaviour.coldMs;
    const hasEnoughCompletions =
      behaviour.coldRequests > 0 && coldCompletions >= behaviour.coldRequests;
    isCold = !isColdTimeOver && !hasEnoughCompletions;
    return !isCold;
  };

  const setCold = (): void => {
    isCold = true;
    coldSinceMs = timers.getMonotonicMs();
    coldCompletions = 0;
  };

  const batch = createBatch({
    behaviour,
    timers,
    createId,
    isFrozen: () => faults.frozen,
    getSlowMs: () => faults.slowMs,
    handleFinished: () => {
      coldCompletions++;
    },
    handleMemoryExceeded: () => markFailed('memoryOverloads'),
  });

  function markFailed(counter: keyof EngineCounters): void {
    if (phase === EnginePhase.Failed) return;
    counters[counter]++;
    phase = EnginePhase.Failed;
    batch.reset();
  }

  const setReady = (): void => {
    phase = EnginePhase.Ready;
    setCold();
  };

  const membership = createReplicaMembership({
    behaviour,
    timers,
    getOrder: () => order,
    getPhase: () => phase,
    isStopped: () => faults.down || faults.frozen,
    handleComplete: () => {
      if (phase === EnginePhase.Loading && loadController === undefined) setReady();
    },
    handleMemberMissing: () => markFailed('memberFailures'),
  });

  const sampleLoad = (): void => {
    if (faults.frozen) return;
    load = {
      running: batch.countRunning(),
      queued: batch.countQueued(),
      heldTokens: batch.countHeldTokens(),
      capacityTokens: behaviour.capacityTokens,
      coldLimit: behaviour.coldLimit,
    };
    loadSampledMs = timers.getMonotonicMs();
  };

  const loadModel = async (newOrder: EngineOrder): Promise<void> => {
    const weights = `${newOrder.model}@${newOrder.modelVersion}`;
    if (loadedWeights !== weights) {
      const controller = new AbortController();
      loadController = controller;
      loadedWeights = '';
      const { model, modelVersion } = newOrder;
      const loadRequest = { vm: settings.vm, model: model ?? '', modelVersion: modelVersion ?? '' };
      await loadWeights(behaviour, timers, loadRequest, controller.signal);
      if (controller.signal.aborted) return;
      loadController = undefined;
      loadedWeights = weights;
      counters.loads++;
    }
    // Rank 0 becomes ready only when all other members of the replica have reported.
    if (newOrder.rank !== 0 || membership.isComplete()) setReady();
  };

  const startOrder = (newOrder: EngineOrder): void => {
    loadController?.abort();
    loadController = undefined;
    batch.reset();
    membership.reset();
    order = newOrder;
    phase = newOrder.group === null ? EnginePhase.Empty : EnginePhase.Loading;
    if (newOrder.group !== null) void loadModel(newOrder);
  };

  const isSameOrder = (newOrder: EngineOrder): boolean =>
    order !== undefined &&
    phase !== EnginePhase.Failed &&
    order.group === newOrder.group &&
    order.generation === newOrder.generation &&
    order.rank === newOrder.rank;

  const isServing = (): boolean => phase === EnginePhase.Ready && order?.group !== null;

  const checkRequest = (
    request: CompletionRequest,
    group?: string,
    generation?: number,
  ): Refusal | undefined => {
    if (!isServing()) return Refusal.NotReady;
    if (order?.rank !== 0) return Refusal.NotLeader;
    const isWrongGroup =
      (group !== undefined && group !== order.group) ||
      (generation !== undefined && generation !== order.generation) ||
      request.model !== order.model;
    return isWrongGroup ? Refusal.WrongGroup : undefined;
  };

  sampleLoad();

  return {
    counters,
    getStatus: () => ({
      instanceId,
      group: order?.group ?? null,
      generation: order?.generation ?? 0,
      epoch,
      rank: order?.rank ?? 0,
      phase,
      warm: isWarm() || (order !== undefined && order.rank !== 0),
      model: order?.model ?? null,
      modelVersion: order?.modelVersion ?? null,
      load: { ...load, ageMs: Math.round(timers.getMonotonicMs() - loadSampledMs) },
    }),
    applyOrder(newOrder) {
      const checksFencing = settings.checksFencing && !faults.ignoreFencing;
      if (newOrder.epoch < epoch) {
        counters.staleOrders++;
        if (checksFencing) return Refusal.StaleEpoch;
      }
      epoch = Math.max(epoch, newOrder.epoch);
      if (isSameOrder(newOrder)) return undefined;
      counters.ordersApplied++;
      startOrder(newOrder);
      return undefined;
    },
    handleMemberReport: membership.handleReport,
    addRequest(request, group, generation) {
      const refusal = checkRequest(request, group, generation);
      if (refusal !== undefined) return refusal;
      const stream = batch.addRequest(request);
      const isMismatch = request.continuation.some((text, index) => text !== stream.getText(index));
      if (isMismatch) {
        counters.continuationMismatches++;
        batch.cancelStream(stream);
        return Refusal.ContinuationMismatch;
      }
      counters.completions++;
      const requests = batch.countRunning() + batch.countQueued();
      if (!isWarm() && requests > behaviour.coldLimit) markFailed('coldOverloads');
      return phase === EnginePhase.Failed ? Refusal.Overloaded : stream;
    },
    findStream: batch.findStream,
    cancelStream(stream) {
      counters.cancelled++;
      batch.cancelStream(stream);
    },
    setCold,
    reset() {
      instanceId = createId();
      epoch = 0;
      loadedWeights = '';
      loadController?.abort();
      loadController = undefined;
      order = undefined;
      phase = EnginePhase.Empty;
      isCold = false;
      batch.reset();
      membership.reset();
      sampleLoad();
    },
    start() {
      membership.start();
      subscriptions = [timers.subscribe(behaviour.loadLagMs, sampleLoad)];
    },
    stop() {
      loadController?.abort();
      batch.reset();
      membership.stop();
      subscriptions.forEach((cancel) => cancel());
    },
  };
}
