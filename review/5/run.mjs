// Operators evacuate a zone just after the store has come back from a copy.
/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax */
import { setTimeout as wait } from 'node:timers/promises';
import { sendRequest } from '../stand-ins/callers.mjs';
import { BOUNDS, createGateways } from '../stand-ins/gateways.mjs';
import { createRecord, runCase } from '../stand-ins/record.mjs';
import { buildConfiguration, startServer } from '../stand-ins/servers.mjs';
import { startStore } from '../stand-ins/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST_NAME = 'ficu95.example';
const ZONES = ['almaty-a', 'almaty-b', 'almaty-c'];
const EVACUATED_ZONE = 'almaty-c';
const EVACUATED_ID = 'i-2';
const SEND_PERIOD_MS = 50;
const DEADLINE_MS = 1_000;
const WORK_MS = 20;
const COPY_AGE_MS = 3_000;
const AWAY_MS = 1_000;
const EVACUATE_AFTER_RETURN_MS = 100;
const LENGTH_AFTER_RETURN_MS = 10_000;

const record = createRecord(import.meta.url);
const store = await startStore();
const fleet = createGateways(store.address, ZONES.slice(0, 2));
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
  const gateways = await fleet.start();
  const sending = sendRequests(gateways);
  await wait(BOUNDS.touch_ms + 500);
  store.takeCopy();
  record.add('the store is copied');
  await wait(COPY_AGE_MS);
  if (HAS_TROUBLE) {
    record.add('the store is away');
    store.fallSilent();
    await wait(AWAY_MS);
    store.returnFromCopy();
    record.add('the store is back, from the copy');
  }
  await wait(EVACUATE_AFTER_RETURN_MS);
  store.write('evacuations', EVACUATED_ZONE, {});
  const evacuatedMs = record.getMs();
  record.add(`the store has acknowledged the evacuation of ${EVACUATED_ZONE}`);
  await wait(LENGTH_AFTER_RETURN_MS);
  isOver = true;
  await sending;
  const boundMs = evacuatedMs + BOUNDS.evacuation_ms;
  const late = runs.filter(({ id, atMs }) => id === EVACUATED_ID && atMs > boundMs);
  const names = [...new Set(late.map(({ attempt }) => sentBy.get(attempt)))].sort();
  const lastMs = Math.round((late.at(-1)?.atMs ?? evacuatedMs) - evacuatedMs);
  return {
    isBroken: late.length > 0,
    text:
      late.length === 0
        ? `no request reached ${EVACUATED_ID} later than ${BOUNDS.evacuation_ms} ms after its zone was evacuated`
        : `${late.length} requests reached ${EVACUATED_ID} later than ${BOUNDS.evacuation_ms} ms after its zone was evacuated, the last one after ${lastMs} ms, from ${names.join(' and ')}`,
  };
}

await runCase(record, run, async () => {
  await fleet.stop();
  servers.forEach((server) => server.close());
  store.close();
});
