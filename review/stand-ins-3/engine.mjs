import { createServer } from 'node:http';

const HEARTBEAT_MS = 1_200;

/**
 * Plain engine of a service (PROTOCOL.md, "Engines" and "Service discovery"). `respond` gets the
 * request, the response and a record of the run; the identity and the echoed id are handled here.
 */
export default async function startEngine({
  store,
  id,
  service,
  zone,
  slots = 6,
  maxConnections = undefined,
  respond,
  runs = [],
}) {
  const born = Date.now();
  const server = createServer((request, response) => {
    const attemptId = request.headers['x-attempt-id'];
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    if (attemptId === undefined) {
      response.writeHead(400, { 'X-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    const run = { attemptId, engine: id, startMs: Date.now(), endMs: undefined, cutMs: undefined };
    runs.push(run);
    response.setHeader('X-Attempt-Id', attemptId);
    response.setHeader('X-Response-Signature', `${id}.${attemptId}`);
    response.on('finish', () => {
      run.endMs = Date.now();
    });
    response.on('close', () => {
      if (!response.writableFinished) run.cutMs = Date.now();
    });
    respond(request, response, run);
  });
  server.on('connection', (socket) => socket.on('error', () => undefined));
  // Further connections are closed at once.
  if (maxConnections !== undefined) server.maxConnections = maxConnections;
  await new Promise((resolve) => {
    server.listen({ port: 0, host: '127.0.0.1', backlog: 4_096 }, resolve);
  });
  const address = `127.0.0.1:${server.address().port}`;
  let seq = 0;
  const register = () => {
    seq += 1;
    const entry = { service, address, zone, version: '1', slots, state: 'ready', born, seq };
    store.put('servers', id, { ...entry, cold_remaining_ms: 0 });
  };
  register();
  const heartbeat = setInterval(register, HEARTBEAT_MS);
  return {
    id,
    runs,
    close() {
      clearInterval(heartbeat);
      server.closeAllConnections();
      server.close();
    },
  };
}
