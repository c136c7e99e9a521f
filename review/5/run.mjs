// A server has left; then the store comes back from a copy in which it is still there.
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
const LEAVING_ID = 'i-2';
const SEND_PERIOD_MS = 50;
const DEADLINE_MS = 1_000;
const WORK_MS = 20;
/** The copy is about 4 s old when the store comes back from it. */
const LEAVE_AFTER_COPY_MS = 500;
const AWAY_AFTER_LEAVE_MS = 3_500;
const AWAY_MS = 300;
/** What the servers wrote is written again after this time, also that one has left. */
const REWRITE_MS = 1_500;
const LENGTH_AFTER_RETURN_MS = 4_000;

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
  await wait(LEAVE_AFTER_COPY_MS);
  servers.find(({ id }) => id === LEAVING_ID).removeEntry();
  const leftMs = record.getMs();
  record.add(`the entry of ${LEAVING_ID} is removed; it serves on`);
  await wait(AWAY_AFTER_LEAVE_MS);
  const awayMs = record.getMs();
  if (HAS_TROUBLE) {
    record.add('the store is away');
    store.goAway();
    await wait(AWAY_MS);
    store.returnFromCopy();
    record.add('the store is back, from the copy');
    await wait(REWRITE_MS);
    servers.forEach((server) => server.beat());
    store.remove('servers', LEAVING_ID);
    record.add(`the servers have written again; the entry of ${LEAVING_ID} is removed again`);
  }
  await wait(LENGTH_AFTER_RETURN_MS);
  isOver = true;
  await sending;
  const atLeft = runs.filter(({ id }) => id === LEAVING_ID);
  const boundMs = leftMs + BOUNDS.drain_ms;
  // Each gateway has itself acknowledged the leaving: it sent nothing more there.
  const known = gateways.filter(({ name }) =>
    atLeft.every(
      ({ attempt, atMs }) => sentBy.get(attempt) !== name || atMs < boundMs || atMs > awayMs,
    ),
  );
  const late = atLeft.filter(
    ({ attempt, atMs }) => atMs > boundMs && known.some(({ name }) => name === sentBy.get(attempt)),
  );
  const last = late.at(-1);
  const lastText =
    last === undefined
      ? ''
      : `, the last one ${Math.round(last.atMs - leftMs)} ms after it had left`;
  return {
    isBroken: late.length > 0,
    text: `${late.length} requests reached ${LEAVING_ID} later than ${BOUNDS.drain_ms} ms after it had left${lastText}`,
  };
}

await runCase(record, run, async () => {
  await fleet.stop();
  servers.forEach((server) => server.close());
  store.close();
});
