import { mkdirSync, mkdtempSync } from 'node:fs';
import { join } from 'node:path';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { TimerService } from '../../core/timers/index.ts';
import { createProcessRunner } from '../../demo/processes.ts';
import { waitUntil } from '../../demo/wait-until.ts';
import type { StandInStore } from '../store/index.ts';
import { createStandInStore } from '../store/index.ts';
import { startCallers } from './callers.ts';
import type { Violation } from './checks.ts';
import { findDeadlyPromptViolations, findLimitViolations, findViolations } from './checks.ts';
import type { SoakEnvironment } from './soak-environment.ts';
import { buildSoakConfiguration, createSoakEnvironment } from './soak-environment.ts';
import { injectFaults } from './inject-faults.ts';
import type { SoakGateway } from './gateways.ts';
import { startSoakGateway } from './gateways.ts';
import { ResponseEnd, createObservations } from './observations.ts';
import { planFaults } from './plan-faults.ts';

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
  timers: TimerService;
  /** Folder with the built programs. */
  buildFolder: string;
}

/** Result of one run. */
export interface SoakResult {
  violations: Violation[];
  requests: number;
  /** Requests whose callers received a complete, successful response of a target. */
  answered: number;
  /** Engines that crashed on a deadly request. */
  engineCrashes: number;
  /** Requests that reached engines after these had stated a limit. */
  limitedArrivals: number;
  /** Largest resident memory of a gateway, in MB. */
  peakMemoryMb: number;
  faults: string[];
  /** Folder with the settings and logs of the gateways. */
  workFolder: string;
}

const OUTPUT_FOLDER = 'out';
const ZONES = ['a', 'b', 'c'];
const GROUPS_TIMEOUT_MS = 20_000;
const MS_PER_SECOND = 1_000;

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

/** Runs gateways under the faults of one seed and checks what callers and targets observed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const { seed, durationMs, timers } = options;
  const generator = xoroshiro128plus(seed);
  const random = (): number => uniformFloat64(generator);
  const faults = options.isFaultFree === true ? [] : planFaults(durationMs, random);
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
    zones: ZONES,
  });
  let gateways: SoakGateway[] = [];
  try {
    store.putObject('config', 'main', buildSoakConfiguration(0));
    gateways = await Promise.all(
      Array.from({ length: options.gateways }, (_, index) =>
        startSoakGateway({
          seed,
          index,
          zone: ZONES[index % ZONES.length] ?? '',
          storePort: store.port,
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
    const injected = injectFaults({
      faults,
      timers,
      store,
      environment,
      gateways,
      observations,
    });
    if (options.isStoreRestored === true) {
      scheduleRestorations({ timers, store, environment, durationMs });
    }
    await timers.waitFor(durationMs);
    await injected.finish();
    await callers.stop();
  } finally {
    gateways.forEach(({ stopRestarting }) => stopRestarting());
    await runner.stopAll();
    await Promise.all(gateways.map(({ storeProxy }) => storeProxy.close()));
    await environment.close();
    await store.close();
  }
  const answered = observations.responses.filter(
    ({ status, end }) => status < 300 && end === ResponseEnd.Complete,
  );
  return {
    violations: [
      ...findViolations(observations),
      ...(faults.length === 0 ? findDeadlyPromptViolations(observations) : []),
      ...(faults.length === 0 ? findLimitViolations(observations) : []),
    ],
    engineCrashes: observations.engineCrashesMs.length,
    limitedArrivals: observations.limitedArrivals.length,
    requests: observations.requests.size,
    answered: answered.length,
    peakMemoryMb: Math.max(...observations.peakMemoryMb.values()),
    faults: faults.map(({ kind, atMs, forMs }) => {
      const [from, length] = [atMs, forMs].map((ms) => (ms / MS_PER_SECOND).toFixed(1));
      return `${from} s ${kind} for ${length} s`;
    }),
    workFolder,
  };
}
