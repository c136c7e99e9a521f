// Stand-ins of the servers of a service without models, after PROTOCOL.md.
/* eslint-disable no-restricted-syntax */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

const HEARTBEAT_MS = 1_200;

/** Reads a request whole, at a bounded rate if one is given. */
async function readBody(request, readBytesPerSecond) {
  if (readBytesPerSecond === undefined) {
    request.resume();
    if (!request.readableEnded) await once(request, 'end');
    return;
  }
  const startMs = performance.now();
  let bytes = 0;
  for await (const chunk of request) {
    bytes += chunk.length;
    const dueMs = startMs + (bytes / readBytesPerSecond) * 1000;
    await wait(Math.max(0, dueMs - performance.now()));
  }
}

/**
 * Starts a server; `answer` gets the id of the attempt and writes the body to the response. The server
 * registers itself in the store and writes there with each heartbeat until it leaves.
 */
export async function startServer(options) {
  const { store, service, zone, id, slots, workMs, answer, record } = options;
  const contentType = options.contentType ?? 'application/octet-stream';
  const born = Date.now();
  let seq = 0;
  let isRegistered = true;
  let address;
  const beat = () => {
    if (!isRegistered || store.isAway()) return;
    seq += 1;
    store.write('servers', id, {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      cold_remaining_ms: 0,
      born,
      seq,
    });
  };

  const handle = async (request, response) => {
    const attempt = String(request.headers['x-attempt-id'] ?? '');
    const expected = request.headers['x-expect-instance'];
    await readBody(request, options.readBytesPerSecond);
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Instance-Id': id, 'X-Not-Executed': '1' });
      response.end();
      return;
    }
    record(`${id} runs ${attempt}`);
    options.handleRun?.(attempt);
    await wait(workMs);
    if (options.isFailing?.(attempt) === true) {
      // An error after the run: nothing in it states that the request has not run.
      response.writeHead(503, { 'X-Attempt-Id': attempt, 'Content-Type': 'text/plain' });
      response.end('failed to confirm');
      return;
    }
    response.writeHead(200, {
      'X-Attempt-Id': attempt,
      'X-Response-Signature': `${id}.${attempt}`,
      'Content-Type': contentType,
    });
    await answer(attempt, response);
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.maxConnections = options.maxConnections;
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  address = `127.0.0.1:${server.address().port}`;
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return {
    id,
    /** Writes the entry at once, as after the return of the store. */
    beat,
    /** Leaves without saying so: the entry is removed, and the server serves on. */
    removeEntry() {
      isRegistered = false;
      store.remove('servers', id);
    },
    close() {
      clearInterval(timer);
      isRegistered = false;
      server.closeAllConnections();
      server.close();
    },
  };
}

/** Writes the entries of servers that get no requests, with each heartbeat. */
export function startEntries({ store, service, zones, count }) {
  const born = Date.now();
  let seq = 0;
  const beat = () => {
    if (store.isAway()) return;
    seq += 1;
    for (let index = 0; index < count; index += 1) {
      store.write('servers', `e-${index}`, {
        service,
        address: `127.0.0.1:${1 + index}`,
        zone: zones[index % zones.length],
        version: 'v1',
        slots: 12,
        state: 'ready',
        cold_remaining_ms: 0,
        born,
        seq,
      });
    }
  };
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return { close: () => clearInterval(timer) };
}

/** Builds the configuration of a deployment with one plain service and one route. */
export function buildConfiguration({ host, kind, timeoutMs, attempts }) {
  return {
    version: 7,
    routes: [
      {
        name: 'r-2yhvz3p',
        host,
        path_prefix: '/puxa403/',
        kind,
        timeout_ms: timeoutMs,
        target_latency_ms: 121,
        priority: 2,
        service: 'wuno96b',
        max_attempts: attempts,
        allow_anonymous: false,
      },
    ],
    services: ['wuno96b', 'huvo11a'].map((service) => ({
      name: service,
      health_check_path: '/health',
      max_connections: 51,
      protocol: 'h1',
      tls: false,
      cold_s: 0,
      cold_per_s: 0,
    })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'hule930', api_keys: ['n2ctnfzs989anu6wsjnb'], priority: 1 }],
  };
}
