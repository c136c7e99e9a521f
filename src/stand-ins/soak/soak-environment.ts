import type { TimerService } from '../../core/timers/index.ts';
import type { StandInStore } from '../store/index.ts';
import type { Observations } from './observations.ts';
import type { TargetEnvironment, SoakTarget } from './soak-targets.ts';
import type { BulkTarget } from './bulk-targets.ts';
import { BULK_SERVICE, startBulkTarget } from './bulk-targets.ts';
import { createEngineFleet } from './soak-engines.ts';
import { startPlainTarget } from './soak-targets.ts';

/** Targets of a soak test, and the parts of the configuration that callers need. */
export interface SoakEnvironment {
  models: readonly string[];
  apiKey: string;
  /** `Host` header of the requests. */
  host: string;
  /** Cuts some engines, which `selector` from 0 to 1 selects, from the store; returns what heals them. */
  cutEngines(selector: number): () => void;
  /** The same, and leaves the calls of the leader to these engines without an answer. */
  hideEngines(selector: number): () => void;
  /** Whether each model has an open group. */
  hasOpenGroups(): boolean;
  listTargets(): SoakTarget[];
  /** Starts a new target of the same kind in place of one that has ended. */
  replaceTarget(target: SoakTarget): Promise<void>;
  /** Writes again what engines and the operator have written, as after a restoration of the store. */
  rewriteStore(): void;
  /** Writes the next version of the configuration to the store, up to the last one. */
  changeConfiguration(): void;
  close(): Promise<void>;
}

/** Options of a soak environment. */
export interface SoakEnvironmentOptions {
  timers: TimerService;
  store: StandInStore;
  observations: Observations;
  random(): number;
  /** Share of the engines that limit their requests. */
  limitedShare: number;
  zones: readonly string[];
  /** Whether there are targets for large bodies and answers. */
  hasBulkTargets: boolean;
  /** Returns the delay of the next order to an engine in ms; undefined for a prompt one. */
  drawOrderDelayMs(): number | undefined;
}

const HOST = '127.0.0.1';
const ROUTE_HOST = 'soak.example';
const API_KEY = 'key-1';
const ENGINE_SERVICE = 'engines';
const ORDER_SERVICE = 'orders';
/** Number of configuration versions available to one run. */
const VERSION_COUNT = 12;
const ENGINES_PER_DOMAIN = 7;
const ORDER_TARGET_COUNT = 2;
const MAX_BODY_BYTES = 65_536;
const MAX_BULK_BODY_BYTES = 4_194_304;
const BULK_TARGET_COUNT = 3;
const LARGE_MODEL = { name: 'large', size: 3, share: 0.5, load_s: 0.3, warm_s: 0.1 };
const SMALL_MODEL = { name: 'small', size: 2, share: 0.5, load_s: 0.3, warm_s: 0.1 };

const ENGINE_PREFIX = 'engine-';
/** Share of the engines that a fault cuts from the store. */
const CUT_SHARE = 0.25;

function isEngineId(id: string): boolean {
  return id.startsWith(ENGINE_PREFIX);
}

function formatReadService(index: number): string {
  return `read-${index}`;
}

/** Returns the version number of the configuration at an index; versions are not consecutive. */
function getVersion(index: number): number {
  return 3 + index * 4;
}

/** Builds the configuration at an index. Each one routes reads to a different service. */
export function buildSoakConfiguration(index: number, hasBulkTargets = false): object {
  const route = (name: string, prefix: string, kind: string, service: string) => ({
    name,
    host: ROUTE_HOST,
    path_prefix: prefix,
    kind,
    timeout_ms: 5000,
    target_latency_ms: 400,
    service,
    max_attempts: kind === 'non_idempotent' ? 1 : 2,
    ...(kind === 'streaming' && { stream_resume: true, gap_target_ms: 300 }),
  });
  return {
    version: getVersion(index),
    routes: [
      route('stream', '/stream/', 'streaming', ENGINE_SERVICE),
      route('orders', '/orders/', 'non_idempotent', ORDER_SERVICE),
      route('read', '/read/', 'idempotent', formatReadService(index)),
      ...(hasBulkTargets
        ? [
            route('bulk', '/bulk/', 'non_idempotent', BULK_SERVICE),
            { ...route('flood', '/flood/', 'streaming', BULK_SERVICE), stream_resume: false },
          ]
        : []),
    ],
    services: [
      {
        name: ENGINE_SERVICE,
        cold_per_s: 0,
        engine: {
          slots: 8,
          models: [LARGE_MODEL, SMALL_MODEL],
          loads_per_s: 5,
          loads_at_once: 7,
          form_ms: 50,
        },
      },
      { name: ORDER_SERVICE },
      ...(hasBulkTargets ? [{ name: BULK_SERVICE }] : []),
      ...Array.from({ length: VERSION_COUNT }, (_, each) => ({ name: formatReadService(each) })),
    ],
    limits: {
      max_header_bytes: 16384,
      max_body_bytes: hasBulkTargets ? MAX_BULK_BODY_BYTES : MAX_BODY_BYTES,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15000,
    },
    tenants: [{ name: 'grower', api_keys: [API_KEY] }],
  };
}

/** Starts the targets of a soak test. */
export async function createSoakEnvironment(
  options: SoakEnvironmentOptions,
): Promise<SoakEnvironment> {
  const { store, zones, hasBulkTargets } = options;
  const targetEnvironment: TargetEnvironment = { host: HOST, ...options };
  const starters = new Map<SoakTarget, () => Promise<SoakTarget>>();
  const start = async (starter: () => Promise<SoakTarget>): Promise<void> => {
    starters.set(await starter(), starter);
  };
  const replaceTarget = async (target: SoakTarget): Promise<void> => {
    const starter = starters.get(target);
    starters.delete(target);
    if (starter !== undefined) await start(starter);
  };
  /** Crashes an engine, whose process is back after the entry has expired. */
  const crashEngine = (id: string): void => {
    const target = [...starters.keys()].find((one) => one.id === id);
    void target?.crash().then(() => replaceTarget(target));
  };
  const engineFleet = createEngineFleet(targetEnvironment, ENGINE_SERVICE, crashEngine);
  let configurationIndex = 0;
  let engineCount = 0;
  let plainCount = 0;

  const selectEngineIds = (selector: number): string[] => {
    const ids = [...starters.keys()].map(({ id }) => id).filter(isEngineId);
    const first = Math.floor(selector * ids.length);
    const step = Math.round(1 / CUT_SHARE);
    return ids.filter((_, index) => index % step === first % step);
  };

  const startEngine = (zone: string) => (): Promise<SoakTarget> =>
    engineFleet.startEngine(`${ENGINE_PREFIX}${engineCount++}`, zone, `${zone}-d0`);
  const startPlain = (service: string, zone: string, version: number) => (): Promise<SoakTarget> =>
    startPlainTarget(targetEnvironment, `plain-${plainCount++}`, service, zone, version);

  for (const zone of zones) {
    for (let count = 0; count < ENGINES_PER_DOMAIN; count++) await start(startEngine(zone));
  }
  for (let count = 0; count < ORDER_TARGET_COUNT; count++) {
    await start(startPlain(ORDER_SERVICE, zones[count] ?? '', 0));
  }
  for (let index = 0; index < VERSION_COUNT; index++) {
    await start(startPlain(formatReadService(index), zones[0] ?? '', getVersion(index)));
  }

  const bulkTargets: BulkTarget[] = [];
  for (let count = 0; hasBulkTargets && count < BULK_TARGET_COUNT; count++) {
    const zone = zones[count % zones.length] ?? '';
    bulkTargets.push(await startBulkTarget(targetEnvironment, `bulk-${count}`, zone));
  }

  return {
    models: [LARGE_MODEL.name, SMALL_MODEL.name],
    apiKey: API_KEY,
    host: ROUTE_HOST,
    hasOpenGroups: () => engineFleet.listOpenModels().length === 2,
    cutEngines(selector) {
      const ids = selectEngineIds(selector);
      ids.forEach((id) => engineFleet.setCut(id, true));
      return () => ids.forEach((id) => engineFleet.setCut(id, false));
    },
    hideEngines(selector) {
      const ids = selectEngineIds(selector);
      const setHidden = (isHidden: boolean): void =>
        ids.forEach((id) => {
          engineFleet.setHidden(id, isHidden);
          engineFleet.setCut(id, isHidden);
        });
      setHidden(true);
      return () => setHidden(false);
    },
    listTargets: () => [...starters.keys()],
    replaceTarget,
    rewriteStore() {
      store.putObject('config', 'main', buildSoakConfiguration(configurationIndex, hasBulkTargets));
      engineFleet.publishAll();
    },
    changeConfiguration() {
      if (configurationIndex + 1 >= VERSION_COUNT) return;
      configurationIndex++;
      store.putObject('config', 'main', buildSoakConfiguration(configurationIndex, hasBulkTargets));
    },
    async close() {
      bulkTargets.forEach((target) => target.close());
      await Promise.all([...starters.keys()].map((target) => target.close()));
    },
  };
}
