import type { AddressInfo } from 'node:net';
import fastify from 'fastify';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { createTimerService } from '../../core/timers/index.ts';
import type { StandInStore, WireObject } from './types.ts';
import { StoreFault } from './types.ts';

interface ObjectParams {
  kind: string;
  name: string;
}

interface ListQuery {
  after_rev?: string;
  watch?: string;
  wait_ms?: string;
}

interface WriteBody {
  metadata: { name: string; revision?: number };
  spec: unknown;
}

interface StoreEvent {
  kind: string;
  revision: number;
  object: WireObject;
  deleted: boolean;
}

const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;
/** Maximum number of objects in one page of a list. */
const PAGE_SIZE = 50;
/** Period at which a waiting watch polls for events. */
const WATCH_PERIOD_MS = 5;

/** Starts an in-memory server on loopback with the object API of the platform's store. */
export async function createStandInStore(): Promise<StandInStore> {
  const timers = createTimerService();
  const objects = new Map<string, Map<string, WireObject>>();
  let events: StoreEvent[] = [];
  let revision = 1;
  let historyStart = 1;
  let fault = StoreFault.None;
  let era = 1;
  let copy = { objects: new Map(objects), events, revision };

  const getObjectsOfKind = (kind: string): Map<string, WireObject> => {
    const existing = objects.get(kind) ?? new Map<string, WireObject>();
    objects.set(kind, existing);
    return existing;
  };

  const write = (kind: string, name: string, spec: unknown): WireObject => {
    revision++;
    const existing = getObjectsOfKind(kind).get(name);
    const created = existing?.metadata.created ?? revision;
    const object = { metadata: { name, revision, created }, spec, status: null };
    getObjectsOfKind(kind).set(name, object);
    events.push({ kind, revision, object, deleted: false });
    return object;
  };

  const remove = (kind: string, name: string): void => {
    const object = getObjectsOfKind(kind).get(name);
    if (object === undefined) return;
    revision++;
    getObjectsOfKind(kind).delete(name);
    events.push({ kind, revision, object, deleted: true });
  };

  const copyObjects = (source: Map<string, Map<string, WireObject>>) =>
    new Map([...source].map(([kind, kept]) => [kind, new Map(kept)]));

  const app = fastify();

  app.addHook('onRequest', async (request: FastifyRequest, reply: FastifyReply) => {
    void reply.header('store-era', String(era));
    if (fault === StoreFault.Unavailable) return reply.code(HTTP_UNAVAILABLE).send();
    if (fault === StoreFault.TooMany) return reply.code(HTTP_TOO_MANY_REQUESTS).send();
    if (fault === StoreFault.Silent) reply.hijack();
    return undefined;
  });
  app.addHook('onSend', async (request: FastifyRequest, _reply, payload) => {
    if (fault === StoreFault.ResponsesLost && request.method !== 'GET')
      request.raw.socket.destroy();
    return payload;
  });

  const watch = async (kind: string, since: number, waitMs: number, reply: FastifyReply) => {
    const isGone = (): boolean => since < historyStart || since > revision;
    if (isGone()) return reply.code(HTTP_GONE).send();
    const endMs = timers.getMonotonicMs() + waitMs;
    const listNew = (): StoreEvent[] =>
      events.filter((event) => event.kind === kind && event.revision > since);
    while (listNew().length === 0 && timers.getMonotonicMs() < endMs) {
      await timers.waitFor(WATCH_PERIOD_MS);
      void reply.header('store-era', String(era));
      if (isGone()) return reply.code(HTTP_GONE).send();
    }
    const found = listNew().map(({ object, deleted }) => ({ object, deleted }));
    return reply.send({ events: found, as_of: revision });
  };

  app.get<{ Params: ObjectParams; Querystring: ListQuery }>(
    '/objects/:kind',
    async ({ params, query }, reply) => {
      if (query.watch !== undefined) {
        return watch(params.kind, Number(query.watch), Number(query.wait_ms ?? 0), reply);
      }
      const { after_rev: after = '' } = query;
      const rest = [...getObjectsOfKind(params.kind).values()]
        .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1))
        .filter(({ metadata }) => metadata.name > after);
      const items = rest.slice(0, PAGE_SIZE);
      return reply.send({ items, more: rest.length > items.length, as_of: revision });
    },
  );
  app.get<{ Params: ObjectParams }>('/objects/:kind/:name', async ({ params }, reply) => {
    const object = getObjectsOfKind(params.kind).get(params.name);
    return object === undefined ? reply.code(HTTP_NOT_FOUND).send() : reply.send(object);
  });
  app.post<{ Params: ObjectParams; Body: WriteBody }>(
    '/objects/:kind',
    async ({ params, body }, reply) => {
      const { name } = body.metadata;
      const existing = getObjectsOfKind(params.kind).get(name);
      if (existing !== undefined) return reply.code(HTTP_CONFLICT).send(existing);
      return reply.send(write(params.kind, name, body.spec));
    },
  );
  app.put<{ Params: ObjectParams; Body: WriteBody }>(
    '/objects/:kind/:name',
    async ({ params, body }, reply) => {
      const existing = getObjectsOfKind(params.kind).get(params.name);
      if (existing === undefined) return reply.code(HTTP_NOT_FOUND).send();
      const { revision: expectedRevision } = body.metadata;
      if (expectedRevision !== undefined && expectedRevision !== existing.metadata.revision) {
        return reply.code(HTTP_CONFLICT).send(existing);
      }
      return reply.send(write(params.kind, params.name, body.spec));
    },
  );
  app.delete<{ Params: ObjectParams }>('/objects/:kind/:name', async ({ params }, reply) => {
    remove(params.kind, params.name);
    return reply.send({});
  });

  await app.listen({ host: '127.0.0.1', port: 0 });
  return {
    port: (app.server.address() as AddressInfo).port,
    setFault: (value) => {
      fault = value;
    },
    dropHistory() {
      events = [];
      revision++;
      historyStart = revision;
    },
    takeCopy() {
      copy = { objects: copyObjects(objects), events: [...events], revision };
    },
    restoreCopy() {
      era++;
      objects.clear();
      copyObjects(copy.objects).forEach((kept, kind) => objects.set(kind, kept));
      events = [...copy.events];
      ({ revision } = copy);
    },
    putObject(kind, name, spec) {
      write(kind, name, spec);
    },
    removeObject: remove,
    getObject: (kind, name) => getObjectsOfKind(kind).get(name),
    async close() {
      app.server.closeAllConnections();
      await app.close();
    },
  };
}
