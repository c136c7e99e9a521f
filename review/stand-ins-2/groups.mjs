/* eslint-disable import-x/extensions, no-restricted-syntax, no-await-in-loop -- Node.js needs the extensions; stand-ins keep state and work step by step. */
// A small deployment with model engines in two zones, used by the cases about groups.
import { setTimeout as wait } from 'node:timers/promises';
import { startClients } from './clients.mjs';
import { startEngines } from './engines.mjs';
import { startGateways } from './gateways.mjs';
import { createRecorder } from './record.mjs';
import { startStore } from './store.mjs';

export const HEARTBEAT_MS = 1200;
const HOST = '127.0.0.1';
const ZONES = ['sofia-a', 'sofia-b'];
const SERVICE = 'assistant-llm';
const MODEL = 'm1';
const GROUP_SIZE = 2;
const ENGINES_PER_ZONE = 6;
const READY_LIMIT_MS = 20_000;
const GROUPS_LIMIT_MS = 20_000;
const POLL_MS = 50;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'advice',
      host: 'wax.example',
      path_prefix: '/advice/',
      kind: 'streaming',
      timeout_ms: 6000,
      target_latency_ms: 300,
      gap_target_ms: 200,
      priority: 1,
      service: SERVICE,
      max_attempts: 2,
      allow_anonymous: true,
      session_affinity: true,
      stream_resume: true,
    },
  ],
  services: [
    {
      name: SERVICE,
      health_check_path: '/health',
      max_connections: 308,
      protocol: 'h1',
      tls: false,
      cold_s: 0,
      cold_per_s: 0,
      engine: {
        slots: 12,
        kv_capacity_tokens: 1_312_941,
        models: [{ name: MODEL, size: GROUP_SIZE, share: 1, pace: 1, load_s: 12, warm_s: 1.1 }],
        loads_per_s: 5,
        loads_at_once: 7,
        keeps: 1,
        form_ms: 300,
      },
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
};

export async function waitUntil(what, isTrue, limitMs) {
  const endMs = Date.now() + limitMs;
  while (Date.now() < endMs) {
    if (await isTrue()) return;
    await wait(POLL_MS);
  }
  throw new Error(`not in time: ${what}`);
}

/**
 * Starts the store, the engines and the gateways, waits until all engines serve in groups, runs the
 * play, and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
 */
export async function playGroups({
  folder,
  gatewaysPerZone = 1,
  enginesPerZone = ENGINES_PER_ZONE,
  planOrder = () => undefined,
  play,
}) {
  const groupCount = ZONES.length * Math.floor(enginesPerZone / GROUP_SIZE);
  const { record, save } = createRecorder(`${folder}/record.txt`);
  const stops = [];
  const stopAll = async () => {
    for (const stop of stops.splice(0).reverse()) await stop();
    save();
  };
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => {
      record('the case was ended', { signal });
      // eslint-disable-next-line n/no-process-exit -- The play would go on.
      stopAll().finally(() => process.exit(2));
    });
  }
  try {
    const store = await startStore({ host: HOST, heartbeatMs: HEARTBEAT_MS });
    stops.push(store.stop);
    store.write('config', 'main', CONFIGURATION);
    const engines = await startEngines({
      host: HOST,
      service: SERVICE,
      model: MODEL,
      heartbeatMs: HEARTBEAT_MS,
      store,
      planOrder,
      record,
      engines: ZONES.flatMap((zone) =>
        Array.from({ length: enginesPerZone }, (_, index) => ({
          id: `i-${zone}-${index + 1}`,
          zone,
          domain: `${zone}-d0`,
        })),
      ),
    });
    stops.push(engines.stop);
    const fleet = await startGateways({
      nodes: ZONES.flatMap((zone, zoneIndex) =>
        Array.from({ length: gatewaysPerZone }, (_, index) => ({
          name: `front-${zone}-${index + 1}`,
          zone,
          host: `127.0.0.${11 + zoneIndex * gatewaysPerZone + index}`,
        })),
      ),
      zones: ZONES,
      storeAddress: store.address,
      heartbeatMs: HEARTBEAT_MS,
      record,
    });
    stops.push(fleet.stop);
    const { gateways } = fleet;
    const areReady = async () =>
      !(await Promise.all(gateways.map((one) => one.isReady()))).includes(false);
    await waitUntil('all gateways are ready', areReady, READY_LIMIT_MS);
    const countOpen = (zone) =>
      engines.list().filter((one) => one.group?.state === 'open' && (!zone || one.zone === zone))
        .length;
    await waitUntil('all groups are open', () => countOpen() === groupCount, GROUPS_LIMIT_MS);
    record('all groups are open');
    const clients = startClients(gateways, record);
    stops.push(clients.stop);
    const setEvacuated = (zone, isOut) => {
      if (isOut) store.write('evacuations', zone, {});
      else store.remove('evacuations', zone);
      record(isOut ? 'zone out' : 'zone back', { zone });
    };
    const findLeader = () => {
      const holder = store.get('clementinefork-duties', 'groups')?.holder;
      return gateways.find(({ name }) => name === holder);
    };
    await play({
      store,
      engines,
      gateways,
      findLeader,
      record,
      countOpen,
      setEvacuated,
      wait,
      zones: ZONES,
    });
    const count = engines.breaks.length;
    record(count > 0 ? 'rule broken' : 'rule held', { TWO: count });
    return count > 0 ? 1 : 0;
  } catch (error) {
    record('the case could not run', { problem: error.message });
    return 2;
  } finally {
    await stopAll();
  }
}
