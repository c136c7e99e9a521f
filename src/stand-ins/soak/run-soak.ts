import { mkdirSync, mkdtempSync } from 'node:fs';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { TimerService } from '../../core/timers/index.ts';
import { createProcessRunner } from '../../demo/processes.ts';
import { waitUntil } from '../../demo/wait-until.ts';
import type { StandInStore } from '../store/index.ts';
import { createStandInStore } from '../store/index.ts';
import { startCallers } from './callers.ts';
import type { Violation } from './checks.ts';
import { findDutyViolations, findUsageViolations } from './duty-checks.ts';
import { startDutyPlatform } from './duty-platform.ts';
import { findDeadlyPromptViolations, findLimitViolations, findViolations } from './checks.ts';
import type { SoakEnvironment } from './soak-environment.ts';
import { buildSoakConfiguration, createSoakEnvironment } from './soak-environment.ts';
import type { HolderFault, HolderFaultOptions } from './holder-fault.ts';
import { startHolderFault } from './holder-fault.ts';
import { injectFaults } from './inject-faults.ts';
import type { SoakGateway } from './gateways.ts';
import { startSoakGateway } from './gateways.ts';
import { RequestClass, ResponseEnd, createObservations } from './observations.ts';
import { injectGroupFaults } from './inject-group-faults.ts';
import { injectPeerFaults } from './inject-peer-faults.ts';
import { findHangingViolations, findStarvationViolations } from './peer-checks.ts';
import { createOrderDelays } from './order-delays.ts';
import { planFaults } from './plan-faults.ts';
import { GROUP_RECOVERY_MS, planGroupFaults } from './plan-group-faults.ts';
import { planPeerFaults } from './plan-peer-faults.ts';
import { sendHangup, sendSignalSeries } from './signal-series.ts';
import { createSlowCallers } from './slow-callers.ts';

/** Options of one run. */
export interface SoakOptions {
  seed: number;
  durationMs: number;
  gateways: number;
  callers: number;
  /** Share of the streams whose prompt has a part that crashes engines. */
  deadlyShare?: number;
  /** Share of the engines that limit their requests. */
  limitedShare?: number;
  /** Whether the store comes back from an older copy, twice. */
  isStoreRestored?: boolean;
  /** Whether the run injects no faults besides. */
  isFaultFree?: boolean;
  /** Whether callers and targets read and send slowly besides, and signals come in series. */
  hasSlowPeers?: boolean;
  /** Whether runs with slow peers send SIGHUP also before a program has set its handler. */
  areEarlySignalsSent?: boolean;
  /** Whether the gateways report the usage of customers. */
  hasDuties?: boolean;
  /** Whether zones, engines, orders and leaders fail in ways that hit the formation of groups. */
  hasGroupFaults?: boolean;
  /** Whether these faults also hide engines from the leader. */
  areEnginesHidden?: boolean;
  /** Fault that hits a holder of the duties once, at the given moment. */
  holderFault?: Pick<HolderFaultOptions, 'moment' | 'kind'>;
  timers: TimerService;
  /** Folder with the built programs. */
  buildFolder: string;
}

/** Result of one run. */
export interface SoakResult {
  violations: Violation[];
  /** Requests of callers that read and send at once. */
  requests: number;
  /** Of these requests, those whose callers received a complete, successful response of a target. */
  answered: number;
  /** Engines that crashed on a deadly request. */
  engineCrashes: number;
  /** Requests that reached engines after these had stated a limit. */
  limitedArrivals: number;
  /** Orders that engines carried out late. */
  lateOrders: number;
  /** Whether each model has an open group within `recovery_s` after the last fault of groups. */
  areGroupsOpen: boolean;
  /** Usage windows that the platform accepted. */
  usageWindows: number;
  /** Windows between the first and the last accepted one that were not reported. */
  missingWindows: number;
  /** Whether a holder of the duties was hit. */
  wasHolderHit: boolean;
  /** Largest resident memory of a gateway, in MB. */
  peakMemoryMb: number;
  /** Longest time for which this process itself was late, in milliseconds. */
  maxLoopDelayMs: number;
  faults: string[];
  /** Folder with the settings and logs of the gateways. */
  workFolder: string;
}

/** Odd factor that spreads consecutive seeds, whose generators would begin alike. */
const PEER_SEED_FACTOR = 0x9e3779b1;
const GROUP_SEED_FACTOR = 0x85ebca6b;
const OUTPUT_FOLDER = 'out';
const ZONES = ['a', 'b', 'c'];
const GROUPS_TIMEOUT_MS = 20_000;
/** The platform's bound `recovery_s`. */
const RECOVERY_LIMIT_MS = 12_000;
const RECOVERY_POLL_MS = 100;
const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1_000_000;

const DUTY_HOST = '127.0.0.1';
/** Share of the calls of duties that fail in a run with faults. */
const DUTY_FAILURE_SHARE = 0.3;
/** Time of a run for the first holder of the duties. */
const FIRST_HOLDER_MS = 3_000;

/** Shares of a run at which the store comes back from the copy that was taken before. */
const RESTORED_AT = [0.4, 0.7];
const COPY_AGE_MS = 1_500;
/** Time after a restoration at which engines and operators write again. */
const REWRITE_MS = 800;

interface RestorationOptions {
  timers: TimerService;
  store: StandInStore;
  environment: SoakEnvironment;
  durationMs: number;
}

/** Schedules the restorations of the store, and the writes that follow them. */
function scheduleRestorations(options: RestorationOptions): void {
  const { timers, store, environment, durationMs } = options;
  for (const share of RESTORED_AT) {
    const atMs = durationMs * share;
    timers.scheduleOnce(atMs - COPY_AGE_MS, store.takeCopy);
    timers.scheduleOnce(atMs, store.restoreCopy);
    timers.scheduleOnce(atMs + REWRITE_MS, environment.rewriteStore);
  }
}

/** Waits until each model has an open group; returns whether that was in time. */
async function hasOpenGroupsInTime(
  timers: TimerService,
  environment: SoakEnvironment,
): Promise<boolean> {
  const limitMs = timers.getMonotonicMs() + RECOVERY_LIMIT_MS - GROUP_RECOVERY_MS;
  while (!environment.hasOpenGroups()) {
    if (timers.getMonotonicMs() > limitMs) return false;
    await timers.waitFor(RECOVERY_POLL_MS);
  }
  return true;
}

/** Runs gateways under the faults of one seed and checks what callers and targets observed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, timers, hasSlowPeers = false, areEarlySignalsSent = false } = options;
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const faults = options.isFaultFree === true ? [] : planFaults(durationMs, random);
  // Loads of slow peers have a generator of their own, so that seeds keep their other faults.
  const peerGenerator = xoroshiro128plus(Math.imul(seed, PEER_SEED_FACTOR));
  const peerFaults = hasSlowPeers
    ? planPeerFaults(durationMs, () => uniformFloat64(peerGenerator))
    : [];
  const groupGenerator = xoroshiro128plus(Math.imul(seed, GROUP_SEED_FACTOR));
  const drawForGroups = (): number => uniformFloat64(groupGenerator);
  const groupFaults =
    options.hasGroupFaults === true
      ? planGroupFaults(durationMs, drawForGroups, options.areEnginesHidden)
      : [];
  const orderDelays = createOrderDelays(drawForGroups);
  let areGroupsOpen = false;
  const loopDelay = monitorEventLoopDelay();
  const observations = createObservations();
  const store = await createStandInStore();
  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  const workFolder = mkdtempSync(join(OUTPUT_FOLDER, `soak-${seed}-`));
  const runner = createProcessRunner({ buildFolder: options.buildFolder, workFolder, timers });
  const environment = await createSoakEnvironment({
    timers,
    store,
    observations,
    random,
    limitedShare: options.limitedShare ?? 0,
    hasBulkTargets: hasSlowPeers,
    zones: ZONES,
    drawOrderDelayMs: orderDelays.drawDelayMs,
  });
  let holderFault: HolderFault | undefined;
  const dutyPlatform =
    options.hasDuties === true
      ? await startDutyPlatform({
          host: DUTY_HOST,
          timers,
          observations,
          failureShare: options.isFaultFree === true ? 0 : DUTY_FAILURE_SHARE,
          random: () => uniformFloat64(peerGenerator),
          handleReport: (holder) => holderFault?.handleReport(holder),
        })
      : undefined;
  let gateways: SoakGateway[] = [];
  try {
    store.putObject('config', 'main', buildSoakConfiguration(0, hasSlowPeers));
    gateways = await Promise.all(
      Array.from({ length: options.gateways }, (_, index) =>
        startSoakGateway({
          seed,
          index,
          zone: ZONES[index % ZONES.length] ?? '',
          storePort: store.port,
          dutyAddress: dutyPlatform?.address,
          timers,
          runner,
          observations,
        }),
      ),
    );
    await Promise.all(gateways.map((gateway) => gateway.waitUntilReady()));
    await waitUntil('opening of a group for each model', timers, GROUPS_TIMEOUT_MS, async () =>
      environment.hasOpenGroups() ? true : undefined,
    );
    const callers = startCallers({
      timers,
      observations,
      random,
      directoryAddresses: gateways.map(({ directoryAddress }) => directoryAddress),
      models: environment.models,
      apiKey: environment.apiKey,
      host: environment.host,
      count: options.callers,
      attemptPrefix: `s${seed}`,
      deadlyShare: options.deadlyShare ?? 0,
    });
    observations.startMs = timers.getMonotonicMs();
    if (options.holderFault !== undefined) {
      const fault = { ...options.holderFault, timers, store, gateways, observations };
      holderFault = startHolderFault(fault);
    }
    const injected = injectFaults({
      faults,
      timers,
      store,
      environment,
      gateways,
      observations,
      ...(hasSlowPeers && { reload: (gateway) => sendHangup(gateway, areEarlySignalsSent) }),
    });
    const injectedPeerFaults = injectPeerFaults({
      faults: peerFaults,
      timers,
      gateways,
      callers: createSlowCallers({
        timers,
        observations,
        apiKey: environment.apiKey,
        host: environment.host,
        attemptPrefix: `p${seed}`,
      }),
      sendSignals: (gateway, variant) =>
        injected.runOnGateway(gateway, (one) =>
          sendSignalSeries({ timers, observations, areEarlySignalsSent }, one, variant),
        ),
    });
    const injectedGroupFaults = injectGroupFaults({
      faults: groupFaults,
      timers,
      store,
      environment,
      orderDelays,
      gateways,
      observations,
      zones: ZONES,
      runOnGateway: injected.runOnGateway,
    });
    if (options.isStoreRestored === true) {
      scheduleRestorations({ timers, store, environment, durationMs });
    }
    loopDelay.enable();
    await timers.waitFor(durationMs);
    await injected.finish();
    await injectedPeerFaults.finish();
    await injectedGroupFaults.finish();
    areGroupsOpen =
      options.hasGroupFaults === true
        ? await hasOpenGroupsInTime(timers, environment)
        : environment.hasOpenGroups();
    await callers.stop();
    loopDelay.disable();
  } finally {
    holderFault?.stop();
    gateways.forEach(({ stopRestarting }) => stopRestarting());
    await runner.stopAll();
    await Promise.all(gateways.map(({ storeProxy }) => storeProxy.close()));
    await environment.close();
    dutyPlatform?.close();
    await store.close();
  }
  const offsetMs = timers.getWallMs() - timers.getMonotonicMs();
  const windows = new Set(observations.dutyCalls.map(({ window }) => window));
  const usageSpan = {
    fromWallMs: observations.startMs + offsetMs + FIRST_HOLDER_MS,
    toWallMs: observations.startMs + offsetMs + durationMs,
    offsetMs,
  };
  const isSound = (attemptId: string): boolean =>
    observations.requests.get(attemptId)?.requestClass !== RequestClass.Bulk;
  const answered = observations.responses.filter(
    ({ attemptId, status, end }) =>
      isSound(attemptId) && status < 300 && end === ResponseEnd.Complete,
  );
  return {
    violations: [
      ...findViolations(observations),
      ...findDutyViolations(
        observations,
        new Map(gateways.map(({ name, callersAddress }) => [name, callersAddress])),
      ),
      ...(options.hasDuties === true &&
      faults.length === 0 &&
      options.isStoreRestored !== true &&
      options.holderFault === undefined
        ? findUsageViolations(observations, usageSpan)
        : []),
      ...(hasSlowPeers ? findHangingViolations(observations) : []),
      ...(hasSlowPeers && faults.length === 0 ? findStarvationViolations(observations) : []),
      ...(faults.length === 0 ? findDeadlyPromptViolations(observations) : []),
      ...(faults.length === 0 ? findLimitViolations(observations) : []),
    ],
    engineCrashes: observations.engineCrashesMs.length,
    lateOrders: observations.lateOrders,
    areGroupsOpen,
    limitedArrivals: observations.limitedArrivals.length,
    usageWindows: windows.size,
    missingWindows:
      windows.size === 0 ? 0 : Math.max(...windows) - Math.min(...windows) + 1 - windows.size,
    wasHolderHit: holderFault?.wasInjected() === true,
    requests: [...observations.requests.keys()].filter(isSound).length,
    answered: answered.length,
    peakMemoryMb: Math.max(...observations.peakMemoryMb.values()),
    maxLoopDelayMs: loopDelay.max / NS_PER_MS,
    faults: [...faults, ...peerFaults, ...groupFaults].map(({ kind, atMs, forMs, selector }) => {
      const [from, length] = [atMs, forMs].map((ms) => (ms / MS_PER_SECOND).toFixed(1));
      const gateway = Math.floor(selector * gateways.length);
      return `${from} s ${kind} for ${length} s (gateway-${gateway}, if on a gateway)`;
    }),
    workFolder,
  };
}
