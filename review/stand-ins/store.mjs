// A stand-in of the platform's metadata store, after the section of that name in PROTOCOL.md.
/* eslint-disable import-x/prefer-default-export, no-void */
import { createServer } from 'node:http';

const PAGE_ITEMS = 500;

/** A write that changes no more than `seq` changes nothing. */
const formatSpec = (spec) => JSON.stringify({ ...spec, seq: undefined });

async function readJson(request) {
  const parts = await request.toArray();
  return parts.length === 0 ? {} : JSON.parse(Buffer.concat(parts).toString());
}

export async function startStore() {
  let revision = 100;
  const historyStart = 100;
  let objects = new Map();
  let events = [];
  let era = 1;
  let isAway = false;
  let copy;
  let isSilent = false;
  /** Connections with a lost answer, on which nothing further returns. */
  let silenced = new Set();
  const waiters = new Set();
  const sockets = new Set();

  const wake = () => [...waiters].forEach((check) => check());

  const send = (response, status, body) => {
    if (response.destroyed || silenced.has(response.socket)) return;
    response.writeHead(status, { 'Content-Type': 'application/json', 'Store-Era': String(era) });
    response.end(body === undefined ? '' : JSON.stringify(body));
  };

  const listKind = (kind) =>
    [...objects.values()]
      .filter((entry) => entry.kind === kind)
      .sort((left, right) => (left.object.metadata.name < right.object.metadata.name ? -1 : 1));

  const addEvent = (kind, object, deleted) => {
    events.push({ kind, revision, event: { object, deleted } });
    wake();
  };

  const write = (kind, name, spec, status = null) => {
    const key = `${kind}/${name}`;
    const known = objects.get(key)?.object;
    const isSame = known !== undefined && formatSpec(known.spec) === formatSpec(spec);
    if (isSame) return known;
    revision += 1;
    const metadata = { name, revision, created: known?.metadata.created ?? revision };
    const object = { metadata: { ...metadata, finalizers: [], deleting: false }, spec, status };
    objects.set(key, { kind, object });
    addEvent(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const entry = objects.get(`${kind}/${name}`);
    if (entry === undefined) return false;
    revision += 1;
    objects.delete(`${kind}/${name}`);
    addEvent(kind, entry.object, true);
    return true;
  };

  const watch = (response, kind, since, waitMs) => {
    let timer;
    const finish = (status, body) => {
      clearTimeout(timer);
      // eslint-disable-next-line no-use-before-define
      waiters.delete(check);
      send(response, status, body);
    };
    const check = () => {
      if (since < historyStart || since > revision) {
        finish(410, {});
        return;
      }
      const found = events.filter((one) => one.kind === kind && one.revision > since);
      if (found.length === 0) return;
      finish(200, { events: found.map(({ event }) => event), as_of: revision });
    };
    waiters.add(check);
    timer = setTimeout(() => finish(200, { events: [], as_of: revision }), waitMs);
    check();
  };

  const handleCollection = async (request, response, kind, query) => {
    if (request.method === 'GET' && query.has('watch')) {
      watch(response, kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0));
    } else if (request.method === 'GET') {
      const after = query.get('after_rev') ?? '';
      const rest = listKind(kind).filter(({ object }) => object.metadata.name > after);
      const items = rest.slice(0, PAGE_ITEMS).map(({ object }) => object);
      send(response, 200, { items, more: rest.length > items.length, as_of: revision });
    } else if (request.method === 'POST') {
      const body = await readJson(request);
      const known = objects.get(`${kind}/${body.metadata.name}`);
      if (known === undefined) send(response, 201, write(kind, body.metadata.name, body.spec));
      else send(response, 409, known.object);
    } else send(response, 405, {});
  };

  const handleObject = async (request, response, kind, name) => {
    const known = objects.get(`${kind}/${name}`)?.object;
    if (known === undefined) {
      send(response, 404, {});
    } else if (request.method === 'GET') {
      send(response, 200, known);
    } else if (request.method === 'PUT') {
      const body = await readJson(request);
      const expected = body.metadata?.revision;
      if (expected !== undefined && expected !== known.metadata.revision) {
        send(response, 409, known);
      } else send(response, 200, write(kind, name, body.spec));
    } else if (request.method === 'DELETE') {
      remove(kind, name);
      send(response, 200, {});
    } else send(response, 405, {});
  };

  const server = createServer((request, response) => {
    const url = new URL(request.url, 'http://store');
    const [, root, kind, name] = url.pathname.split('/').map(decodeURIComponent);
    if (root !== 'objects') send(response, 404, {});
    else if (name === undefined) void handleCollection(request, response, kind, url.searchParams);
    else void handleObject(request, response, kind, name);
  });
  server.on('connection', (socket) => {
    if (isSilent) silenced.add(socket);
    else if (isAway) socket.destroy();
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${server.address().port}`,
    write,
    remove,
    list: (kind) => listKind(kind).map(({ object }) => object.metadata.name),
    /** Keeps a copy, from which the store may come back. */
    takeCopy() {
      copy = { objects: new Map(objects), revision, events: [...events] };
    },
    /**
     * The store goes away: all connections are reset, new ones too. `makeLastWrite` makes the last
     * change that it acknowledges before; no watch returns it any more.
     */
    goAway(makeLastWrite = () => undefined) {
      waiters.clear();
      makeLastWrite();
      isAway = true;
      sockets.forEach((socket) => socket.resetAndDestroy());
    },
    /** The store answers no more; what it had got by then stays without an answer for good. */
    fallSilent() {
      isAway = true;
      isSilent = true;
      waiters.clear();
      silenced = new Set(sockets);
    },
    isAway: () => isAway,
    /** The store comes back with all that it had, and with what has changed meanwhile. */
    comeBack() {
      isAway = false;
    },
    /** The store comes back from the copy, with the next era. */
    returnFromCopy() {
      ({ revision } = copy);
      objects = new Map(copy.objects);
      events = [...copy.events];
      era += 1;
      isAway = false;
      isSilent = false;
    },
    close() {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
