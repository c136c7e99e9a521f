/* eslint-disable no-await-in-loop -- One answer after the other. */
import { createServer } from 'node:http';

const PAGE_SIZE = 500;

/** Object store of the platform, held in memory (PROTOCOL.md, "The platform's metadata store"). */
export default async function startStore() {
  const kinds = new Map();
  const events = [];
  const waiting = new Set();
  let revision = 10;

  const getKind = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };

  const recordEvent = (kind, object, deleted) => {
    events.push({ kind, revision, object, deleted });
    [...waiting].forEach((wake) => wake());
  };

  const put = (kind, name, spec, status = null) => {
    const known = getKind(kind).get(name);
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    revision += 1;
    const created = known?.metadata.created ?? revision;
    const metadata = { name, revision, created, finalizers: [], deleting: false };
    const object = { metadata, spec, status };
    getKind(kind).set(name, object);
    recordEvent(kind, object, false);
    return object;
  };

  const remove = (kind, name) => {
    const object = getKind(kind).get(name);
    if (object === undefined) return;
    revision += 1;
    getKind(kind).delete(name);
    recordEvent(kind, object, true);
  };

  const waitForEvent = (waitMs) =>
    new Promise((resolve) => {
      let timer;
      const wake = () => {
        clearTimeout(timer);
        waiting.delete(wake);
        resolve();
      };
      timer = setTimeout(wake, waitMs);
      waiting.add(wake);
    });

  const watch = async (kind, since, waitMs) => {
    if (since > revision) return [410];
    const endMs = Date.now() + waitMs;
    for (;;) {
      const found = events.filter((event) => event.kind === kind && event.revision > since);
      const leftMs = endMs - Date.now();
      if (found.length > 0 || leftMs <= 0) {
        const list = found.map(({ object, deleted }) => ({ object, deleted }));
        return [200, { events: list, as_of: revision }];
      }
      await waitForEvent(leftMs);
    }
  };

  const list = (kind, after) => {
    const rest = [...getKind(kind).values()]
      .filter(({ metadata }) => metadata.name > after)
      .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
    const items = rest.slice(0, PAGE_SIZE);
    return [200, { items, more: rest.length > items.length, as_of: revision }];
  };

  const read = (kind, name, query) => {
    if (name !== undefined) {
      const object = getKind(kind).get(name);
      return object === undefined ? [404] : [200, object];
    }
    const since = query.get('watch');
    if (since !== null) return watch(kind, Number(since), Number(query.get('wait_ms') ?? 0));
    return list(kind, query.get('after_rev') ?? '');
  };

  const write = (method, kind, name, { metadata, spec }) => {
    const known = getKind(kind).get(name ?? metadata.name);
    if (method === 'POST') {
      return known === undefined ? [200, put(kind, metadata.name, spec)] : [409, known];
    }
    if (known === undefined) return [404];
    const expected = metadata?.revision;
    if (expected !== undefined && expected !== known.metadata.revision) return [409, known];
    if (method === 'PUT') return [200, put(kind, name, spec)];
    remove(kind, name);
    return [200, {}];
  };

  const answer = async (request, body) => {
    const url = new URL(request.url, 'http://store');
    const [, , kind, encodedName] = url.pathname.split('/');
    const name = encodedName === undefined ? undefined : decodeURIComponent(encodedName);
    if (request.method === 'GET') return read(kind, name, url.searchParams);
    return write(request.method, kind, name, body === '' ? {} : JSON.parse(body));
  };

  const server = createServer((request, response) => {
    let body = '';
    request.setEncoding('utf8');
    request.on('data', (chunk) => {
      body += chunk;
    });
    request.on('end', async () => {
      const [status, object] = await answer(request, body);
      const text = object === undefined ? '' : JSON.stringify(object);
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(text),
        'Store-Era': '1',
      });
      response.end(text);
    });
  });
  server.keepAliveTimeout = 30_000;
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${server.address().port}`,
    put,
    remove,
    find: (kind, name) => getKind(kind).get(name),
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
