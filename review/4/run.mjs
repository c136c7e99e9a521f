// A server leaves as the store goes down; after the return of the store it is gone.
/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax */
import { setTimeout as wait } from 'node:timers/promises';
import { sendRequest } from '../stand-ins/callers.mjs';
import { BOUNDS, createGateways } from '../stand-ins/gateways.mjs';
import { createRecord, runCase } from '../stand-ins/record.mjs';
import { buildConfiguration, startEntries, startServer } from '../stand-ins/servers.mjs';
import { startStore } from '../stand-ins/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST_NAME = 'ficu95.example';
const ZONES = ['almaty-a', 'almaty-b', 'almaty-c'];
const LEAVING_ID = 'i-2';
/** 18 requests a second at each machine, as on the sheet of temir-feed. */
const SEND_PERIOD_MS = 55;
const DEADLINE_MS = 1_000;
const WORK_MS = 20;
/** The store is down for 4.5 s in temir-feed. */
const AWAY_MS = 4_000;
/** Entries lapse after three heartbeats of silence, of 1.2 s each. */
const LAPSE_AFTER_AWAY_MS = 3_700;
const ENGINES = 60;
const LENGTH_AFTER_RETURN_MS = 15_000;

const record = createRecord(import.meta.url);
const store = await startStore();
/** The machines of temir-feed. */
const fleet = createGateways(
  store.address,
  [3, 3, 2].flatMap((count, index) => Array.from({ length: count }, () => ZONES[index])),
);
const servers = [];
const runs = [];
const sentBy = new Map();
let isOver = false;

async function sendFrom(attempt, gateway) {
  sentBy.set(attempt, gateway.name);
  const { status, end } = await sendRequest({
    host: gateway.host,
    port: gateway.port,
    attempt,
    name: HOST_NAME,
    method: 'POST',
    deadlineMs: DEADLINE_MS,
  });
  record.add(`${attempt} at ${gateway.name} got ${status}; ${end}`);
}

async function sendRequests(gateways) {
  const requests = [];
  for (let count = 0; !isOver; count += 1) {
    for (const [index, gateway] of gateways.entries()) {
      requests.push(sendFrom(`a${index}${String(count).padStart(14, '0')}`, gateway));
    }
    await wait(SEND_PERIOD_MS);
  }
  await Promise.all(requests);
}

async function run() {
  store.write(
    'config',
    'main',
    buildConfiguration({
      host: HOST_NAME,
      kind: 'non_idempotent',
      timeoutMs: DEADLINE_MS,
      attempts: 1,
    }),
  );
  for (const [index, zone] of ZONES.entries()) {
    const id = `i-${index}`;
    const server = await startServer({
      store,
      service: 'wuno96b',
      zone,
      id,
      slots: 6,
      workMs: WORK_MS,
      answer: (_attempt, response) => response.end('booked'),
      record: record.add,
      handleRun: (attempt) => runs.push({ id, attempt, atMs: record.getMs() }),
    });
    servers.push(server);
  }
  servers.push(startEntries({ store, service: 'huvo11a', zones: ZONES, count: ENGINES }));
  const gateways = await fleet.start();
  const sending = sendRequests(gateways);
  await wait(BOUNDS.touch_ms + 500);
  const leaving = servers.find(({ id }) => id === LEAVING_ID);
  if (HAS_TROUBLE) store.goAway(leaving.removeEntry);
  else leaving.removeEntry();
  const leftMs = record.getMs();
  record.add(`${LEAVING_ID} has left: the store has removed its entry; it serves on`);
  if (HAS_TROUBLE) record.add('the store is down');
  await wait(LAPSE_AFTER_AWAY_MS);
  if (HAS_TROUBLE) {
    store.list('servers').forEach((name) => store.remove('servers', name));
    record.add('the entries of all servers have lapsed');
  }
  await wait(AWAY_MS - LAPSE_AFTER_AWAY_MS);
  if (HAS_TROUBLE) store.comeBack();
  const returnedMs = record.getMs();
  record.add('the store is up');
  await wait(LENGTH_AFTER_RETURN_MS);
  isOver = true;
  await sending;
  // The store was stable when it removed the entry. It is stable again, and all machines are in touch,
  // from `touch_ms` after its return; requests count that were sent `drain_ms` later.
  const boundMs = HAS_TROUBLE
    ? returnedMs + BOUNDS.touch_ms + BOUNDS.drain_ms
    : leftMs + BOUNDS.drain_ms;
  const late = runs.filter(({ id, atMs }) => id === LEAVING_ID && atMs > boundMs);
  const names = [...new Set(late.map(({ attempt }) => sentBy.get(attempt)))].sort();
  const lastMs = Math.round((late.at(-1)?.atMs ?? leftMs) - leftMs);
  return {
    isBroken: late.length > 0,
    text:
      late.length === 0
        ? `no request reached ${LEAVING_ID} later than ${Math.round(boundMs - leftMs)} ms after it had left`
        : `${late.length} requests reached ${LEAVING_ID} later than ${Math.round(boundMs - leftMs)} ms after it had left, the last one after ${lastMs} ms, from ${names.join(' and ')}`,
  };
}

await runCase(record, run, async () => {
  await fleet.stop();
  servers.forEach((server) => server.close());
  store.close();
});
