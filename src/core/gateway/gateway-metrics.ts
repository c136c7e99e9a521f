import { monitorEventLoopDelay } from 'node:perf_hooks';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { ConnectionCount, ConnectionKind, ConnectionRemoval } from '../connections/index.ts';
import type { DutyCallResult, ScaleOrder, WindowResult } from '../duties/index.ts';
import type { DirectoryChoice } from '../directory/index.ts';
import type { ErrorOrigin } from '../errors/index.ts';
import type { RoutedRequest, ForwardingResult } from '../forwarding/index.ts';
import type { MemoryBudget, MemoryUsage } from '../memory/index.ts';
import type { StoreCallResult } from '../store/index.ts';
import type { GroupCount, TargetCount } from './fleet-counts.ts';
import type { CopyAge } from './store-copies.ts';

/** Values of the gauges at the time of a scrape. */
export interface GaugeValues {
  targets: readonly TargetCount[];
  groups: readonly GroupCount[];
  copyAges: readonly CopyAge[];
  gateways: number;
  inProgress: number;
  waiting: number;
  /** Time that requests took, as a multiple of the times that their services publish. */
  workRatio: number;
  dutyTerm: number;
  /** Time for which this process has held the duties; 0 if it does not. */
  dutiesHeldMs: number;
  configurationVersion: number;
  quarantinedSets: number;
  limitedTargets: number;
  memory: MemoryUsage;
  memoryLimitBytes: number;
  /** Memory held for callers and targets, and its limit. */
  heldMemory: Pick<MemoryBudget, 'getHeldBytes' | 'getLimitBytes'>;
  connections: readonly ConnectionCount[];
}

/** Counters, histograms and gauges of one gateway. */
export interface GatewayMetrics {
  countRequest(outcome: string, kind: string, reason: string): void;
  countRetry(kind: string, reason: string): void;
  /** Counts a waiting request that was refused in favour of another one. */
  countDisplacement(route: string, isLarge: boolean): void;
  /** Counts a crash of a target that this gateway saw. */
  countCrash(service: string): void;
  recordLatency(input: RoutedRequest, result: ForwardingResult): void;
  countStoreCall(call: StoreCallResult): void;
  /** Counts a connection that was closed or dropped because its kind is at its limit. */
  countConnectionRemoval(kind: ConnectionKind, removal: ConnectionRemoval): void;
  /** Counts an answer of the directory with its number of names. */
  countDirectoryAnswer(choice: DirectoryChoice, names: number): void;
  countUnexpectedError(origin: ErrorOrigin): void;
  /** Counts usage windows by how their report ended. */
  countUsageWindows(result: WindowResult, count: number): void;
  /** Counts an order for a number of targets, and shows the number if it was accepted. */
  countScaleOrder(order: ScaleOrder, result: DutyCallResult, isAccepted: boolean): void;
  /** Sets the gauges to the given values and renders all metrics in the Prometheus text format. */
  renderMetrics(values: GaugeValues): Promise<string>;
  stop(): void;
}

const PREFIX = 'clementinefork_';
const MS_PER_SECOND = 1_000;
const NS_PER_SECOND = 1e9;
/** Upper bounds in seconds; the latency objectives of current routes are 0.1 to 0.5 s. */
const FIRST_BYTE_BUCKETS = [0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8];
/** Upper bounds in seconds; a response counts as late after a pause of 0.2 to 0.3 s. */
const PAUSE_BUCKETS = [0.03, 0.05, 0.08, 0.12, 0.2, 0.3, 0.5, 1, 2, 5];
const LOOP_RESOLUTION_MS = 20;

/** Keeps the first words of a reason only: ids and connection errors would make too many labels. */
function buildReasonLabel(reason: string): string {
  return (
    reason
      .split(/[,:\d]/)[0]
      ?.trim()
      .split(' ')
      .slice(0, 3)
      .join(' ') ?? ''
  );
}

/** Creates the metrics in a separate Prometheus registry. */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const loopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  loopDelay.enable();

  const requests = new Counter({
    name: `${PREFIX}requests_total`,
    help: 'Requests that ended, by outcome, kind of route and reason.',
    labelNames: ['outcome', 'kind', 'reason'],
    registers,
  });
  const retries = new Counter({
    name: `${PREFIX}retries_total`,
    help: 'Sends after the first, by kind of route and reason.',
    labelNames: ['kind', 'reason'],
    registers,
  });
  const displacements = new Counter({
    name: `${PREFIX}displacements_total`,
    help: 'Waiting requests that were refused in favour of others, by route and size.',
    labelNames: ['route', 'size'],
    registers,
  });
  const crashes = new Counter({
    name: `${PREFIX}target_crashes_total`,
    help: 'Crashes of targets under requests whose answers had not begun, by service.',
    labelNames: ['service'],
    registers,
  });
  const firstByte = new Histogram({
    name: `${PREFIX}first_byte_seconds`,
    help: 'Time from the arrival of a request to the first byte of its answer.',
    labelNames: ['kind'],
    buckets: FIRST_BYTE_BUCKETS,
    registers,
  });
  const longestPause = new Histogram({
    name: `${PREFIX}longest_pause_seconds`,
    help: 'Longest pause within one streamed answer.',
    buckets: PAUSE_BUCKETS,
    registers,
  });
  const storeCalls = new Counter({
    name: `${PREFIX}store_calls_total`,
    help: 'Calls to the object API, by operation, kind of objects and result.',
    labelNames: ['operation', 'kind', 'result'],
    registers,
  });
  const unexpectedErrors = new Counter({
    name: `${PREFIX}unexpected_errors_total`,
    help: 'Unexpected errors, each of which ended one step, by the place where it was caught.',
    labelNames: ['origin'],
    registers,
  });
  const directoryAnswers = new Counter({
    name: `${PREFIX}directory_answers_total`,
    help: 'Answers of the directory, by how their names were chosen.',
    labelNames: ['choice'],
    registers,
  });
  const directoryNames = new Counter({
    name: `${PREFIX}directory_names_total`,
    help: 'Names in answers of the directory, by how they were chosen.',
    labelNames: ['choice'],
    registers,
  });
  const connectionRemovals = new Counter({
    name: `${PREFIX}connections_removed_total`,
    help: 'Connections that were closed or dropped because their kind is at its limit.',
    labelNames: ['kind', 'removal'],
    registers,
  });

  const usageWindows = new Counter({
    name: `${PREFIX}usage_windows_total`,
    help: 'Usage windows by how their report ended.',
    labelNames: ['result'],
    registers,
  });

  const scaleOrders = new Counter({
    name: `${PREFIX}scale_orders_total`,
    help: 'Orders for a number of targets, by service, zone and result.',
    labelNames: ['service', 'zone', 'result'],
    registers,
  });

  const createGauge = <Label extends string>(
    name: string,
    help: string,
    labelNames: Label[] = [],
  ): Gauge<Label> => new Gauge({ name: `${PREFIX}${name}`, help, labelNames, registers });
  const targets = createGauge('targets', 'Known targets.', ['service', 'state']);
  const groups = createGauge('groups', 'Known groups by state of the head.', ['model', 'state']);
  const copyAge = createGauge('copy_age_seconds', 'Age of copies of the object API.', ['kind']);
  const gateways = createGauge('gateways', 'Gateways heard of lately, this one included.');
  const inProgress = createGauge('requests_in_progress', 'Requests in progress.');
  const waiting = createGauge('requests_waiting', 'Requests that wait for a place at a target.');
  const workRatio = createGauge(
    'work_ratio',
    'Time that requests took at targets, as a multiple of the published times.',
  );
  const dutyTerm = createGauge('duty_term', 'Term of the duty to form groups; 0 if not held.');
  const dutiesHeld = createGauge(
    'duties_held_seconds',
    'Time for which this gateway has held the duties; 0 if it does not.',
  );
  const configurationVersion = createGauge(
    'configuration_version',
    'Version of the configuration in force.',
  );
  const quarantinedSets = createGauge(
    'quarantined_sets',
    'Sets of prompt parts whose requests are refused because they crash targets.',
  );
  const limitedTargets = createGauge(
    'limited_targets',
    'Targets that limit the requests of all gateways together.',
  );
  const orderedTargets = createGauge(
    'ordered_targets',
    'Targets that this gateway ordered last, by service and zone.',
    ['service', 'zone'],
  );
  const openConnections = createGauge('connections', 'Open connections.', ['kind']);
  const connectionLimits = createGauge('connections_limit', 'Most open connections.', ['kind']);
  const residentMemory = createGauge('resident_memory_bytes', 'Resident memory of the process.');
  const heapMemory = createGauge('heap_memory_bytes', 'JavaScript objects in use.');
  const externalMemory = createGauge(
    'external_memory_bytes',
    'Buffers and other memory outside the JavaScript heap.',
  );
  const memoryLimit = createGauge(
    'memory_limit_bytes',
    'Resident memory above which the process is killed.',
  );
  const heldMemory = createGauge('held_memory_bytes', 'Memory held for callers and targets.');
  const heldMemoryLimit = createGauge(
    'held_memory_limit_bytes',
    'Memory that may be held for callers and targets.',
  );
  const eventLoopDelay = createGauge(
    'event_loop_delay_seconds',
    'Delay of the event loop, 99th centile.',
  );

  const updateGauges = (values: GaugeValues): void => {
    [targets, groups, copyAge].forEach((gauge) => gauge.reset());
    for (const { service, state: name, count } of values.targets) {
      targets.set({ service, state: name }, count);
    }
    for (const { model, state: name, count } of values.groups) {
      groups.set({ model, state: name }, count);
    }
    values.copyAges.forEach(({ kind, ageMs }) => copyAge.set({ kind }, ageMs / MS_PER_SECOND));
    gateways.set(values.gateways);
    inProgress.set(values.inProgress);
    waiting.set(values.waiting);
    workRatio.set(values.workRatio);
    dutyTerm.set(values.dutyTerm);
    dutiesHeld.set(values.dutiesHeldMs / MS_PER_SECOND);
    configurationVersion.set(values.configurationVersion);
    quarantinedSets.set(values.quarantinedSets);
    limitedTargets.set(values.limitedTargets);
    residentMemory.set(values.memory.residentBytes);
    heapMemory.set(values.memory.heapBytes);
    externalMemory.set(values.memory.externalBytes);
    memoryLimit.set(values.memoryLimitBytes);
    heldMemory.set(values.heldMemory.getHeldBytes());
    heldMemoryLimit.set(values.heldMemory.getLimitBytes());
    values.connections.forEach(({ kind, open, limit }) => {
      openConnections.set({ kind }, open);
      connectionLimits.set({ kind }, limit);
    });
    eventLoopDelay.set(loopDelay.percentile(99) / NS_PER_SECOND);
    loopDelay.reset();
  };

  return {
    countRequest: (outcome, kind, reason) => requests.inc({ outcome, kind, reason }),
    countRetry: (kind, reason) => retries.inc({ kind, reason: buildReasonLabel(reason) }),
    countDisplacement: (route, isLarge) =>
      displacements.inc({ route, size: isLarge ? 'large' : 'usual' }),
    countCrash: (service) => crashes.inc({ service }),
    recordLatency({ route }, { firstByteMs, longestGapMs }) {
      if (firstByteMs === undefined) return;
      firstByte.observe({ kind: route.kind }, firstByteMs / MS_PER_SECOND);
      if (longestGapMs > 0) longestPause.observe(longestGapMs / MS_PER_SECOND);
    },
    countStoreCall: ({ operation, kind, result }) => storeCalls.inc({ operation, kind, result }),
    countConnectionRemoval: (kind, removal) => connectionRemovals.inc({ kind, removal }),
    countScaleOrder({ service, availabilityZone: zone, targetCount }, result, isAccepted) {
      scaleOrders.inc({ service, zone, result });
      if (isAccepted) orderedTargets.set({ service, zone }, targetCount);
    },
    countUsageWindows: (result, count) => usageWindows.inc({ result }, count),
    countDirectoryAnswer(choice, names) {
      directoryAnswers.inc({ choice });
      directoryNames.inc({ choice }, names);
    },
    countUnexpectedError: (origin) => unexpectedErrors.inc({ origin }),
    renderMetrics(values) {
      updateGauges(values);
      return registry.metrics();
    },
    stop() {
      loopDelay.disable();
    },
  };
}
