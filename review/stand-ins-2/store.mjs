/* eslint-disable import-x/prefer-default-export, no-restricted-syntax, no-plusplus -- Node.js needs the extensions; stand-ins keep state and work step by step. */
// Stand-in for the platform's store: objects by kind, revisions, watches, and entries of servers that lapse.
import { once } from 'node:events';
import { createServer } from 'node:http';

const HISTORY_MS = 20_000;
const EXPIRY_PERIOD_MS = 50;
const SERVERS = 'servers';

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString());
};

/** Starts a store; entries of servers lapse after three heartbeats without a write. */
export async function startStore({ host, heartbeatMs }) {
  const kinds = new Map();
  const history = [];
  const watches = new Set();
  const writtenMs = new Map();
  let revision = 1;

  const getKind = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const listEvents = (kind, since) =>
    history
      .filter((change) => change.kind === kind && change.revision > since)
      .map(({ object, deleted }) => ({ object, deleted }));
  const announce = (kind, object, deleted) => {
    const now = Date.now();
    history.push({ kind, object, deleted, revision, atMs: now });
    while (history.length > 0 && now - history[0].atMs > HISTORY_MS) history.shift();
    for (const watch of [...watches]) if (watch.kind === kind) watch.answer();
  };
  const setObject = (kind, name, spec, status) => {
    const known = getKind(kind).get(name);
    const same = known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec);
    if (same && JSON.stringify(known.status) === JSON.stringify(status)) return known;
    revision++;
    const created = known?.metadata.created ?? revision;
    const metadata = { name, revision, created, finalizers: [], deleting: false };
    const object = { metadata, spec, status };
    getKind(kind).set(name, object);
    announce(kind, object, false);
    return object;
  };
  const removeObject = (kind, name) => {
    const known = getKind(kind).get(name);
    if (known === undefined) return;
    getKind(kind).delete(name);
    revision++;
    announce(kind, { ...known, metadata: { ...known.metadata, revision } }, true);
  };

  const send = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  };
  const answerWatch = (response, kind, since, waitMs) => {
    if (since > revision || (history.length > 0 && since < history[0].revision - 1)) {
      return send(response, 410, {});
    }
    let timer;
    const watch = {
      kind,
      answer: () => {
        clearTimeout(timer);
        watches.delete(watch);
        send(response, 200, { events: listEvents(kind, since), as_of: revision });
      },
    };
    if (listEvents(kind, since).length > 0) return watch.answer();
    timer = setTimeout(watch.answer, waitMs);
    watches.add(watch);
    response.once('close', () => {
      clearTimeout(timer);
      watches.delete(watch);
    });
    return undefined;
  };
  const handle = async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const [, , kind, name, part] = url.pathname.split('/').map(decodeURIComponent);
    const objects = getKind(kind);
    const body = await readBody(request);
    if (request.method === 'GET' && name === undefined) {
      if (url.searchParams.has('watch')) {
        const since = Number(url.searchParams.get('watch'));
        return answerWatch(response, kind, since, Number(url.searchParams.get('wait_ms') ?? 0));
      }
      return send(response, 200, { items: [...objects.values()], more: false, as_of: revision });
    }
    if (request.method === 'POST') {
      const known = objects.get(body.metadata.name);
      if (known !== undefined) return send(response, 409, known);
      return send(response, 200, setObject(kind, body.metadata.name, body.spec, null));
    }
    const known = objects.get(name);
    if (known === undefined) return send(response, 404, {});
    if (request.method === 'GET') return send(response, 200, known);
    const expected = body?.metadata?.revision ?? url.searchParams.get('revision');
    if (expected != null && Number(expected) !== known.metadata.revision) {
      return send(response, 409, known);
    }
    if (request.method === 'DELETE') {
      removeObject(kind, name);
      return send(response, 200, {});
    }
    if (part === 'status')
      return send(response, 200, setObject(kind, name, known.spec, body.status));
    return send(response, 200, setObject(kind, name, body.spec, known.status));
  };

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.listen(0, host);
  await once(server, 'listening');
  const expiry = setInterval(() => {
    for (const name of getKind(SERVERS).keys()) {
      if (Date.now() - (writtenMs.get(name) ?? 0) > 3 * heartbeatMs) removeObject(SERVERS, name);
    }
  }, EXPIRY_PERIOD_MS);
  return {
    address: `${host}:${server.address().port}`,
    /** What the operator writes, and the writes of servers. */
    write: (kind, name, spec) => {
      if (kind === SERVERS) writtenMs.set(name, Date.now());
      return setObject(kind, name, spec, null);
    },
    remove: removeObject,
    get: (kind, name) => getKind(kind).get(name)?.spec,
    stop: () => {
      clearInterval(expiry);
      server.closeAllConnections();
      server.close();
    },
  };
}
