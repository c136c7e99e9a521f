/* eslint-disable import-x/extensions, import-x/prefer-default-export, no-restricted-syntax, no-await-in-loop, no-plusplus, no-param-reassign -- Node.js needs the extensions; stand-ins keep state and work step by step. */
// Stand-ins for model engines that form groups: orders, reports, requests, and the check of rule TWO.
import { once } from 'node:events';
import { createServer } from 'node:http';
import { createServer as createListener } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { findOwner } from './find-owner.mjs';

const SAME_MODEL_JOIN_MS = 200;
const FORM_MS = 300;
const EVENTS = 12;
const EVENT_MS = 40;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/**
 * Starts engines. `engines` lists `{ id, zone, domain }`. `planOrder(engine, order, count)` returns the
 * delay in ms with which an order is carried out without an answer, or undefined for a prompt one; `count`
 * is how often the engine has got the same order.
 */
export async function startEngines({ host, service, engines, model, store, heartbeatMs, ...rest }) {
  const { planOrder, record } = rest;
  const all = new Map();
  const breaks = [];

  /** Whether the engine has lost the path to the process at the other end. */
  const isLost = ({ reachedPids }, socket) =>
    reachedPids !== undefined && findOwner(socket, reachedPids) === undefined;
  const isServing = (engine) => ['open', 'closing'].includes(engine?.group?.state);
  const describe = ({ group, model: current, domain, born }) => ({
    models: current === undefined ? [] : [{ name: current, version: 1, adapters: [] }],
    domain,
    staged: [model],
    born,
    ...(group && {
      group: { name: group.name, epoch: group.epoch, rank: group.rank, state: group.state },
    }),
  });
  const publish = (engine) => {
    if (engine.isCut) return;
    engine.seq++;
    store.write('servers', engine.id, {
      service,
      address: engine.address,
      zone: engine.zone,
      version: 'v1',
      slots: 12,
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'unified',
      ...describe(engine),
      seq: engine.seq,
    });
  };
  const setState = (engine, group, state) => {
    if (engine.group !== group) return;
    group.state = state;
    record('state', { engine: engine.id, group: group.name, state, cut: engine.isCut });
    publish(engine);
  };

  const join = (engine, order) => {
    const known = engine.group;
    const isSame = known?.name === order.group && known.epoch === order.epoch;
    if (order.epoch < engine.highestEpoch) return 412;
    if (isSame && String(known.members) !== String(order.members)) return 412;
    const head = known && all.get(known.members[0]);
    const isHeadOpen = isServing(head) && head.group.name === known.name;
    if (known !== undefined && !isSame && isHeadOpen) {
      const what = `${engine.id} was joined to ${order.group} while ${known.name} of ${head.id} was ${head.group.state}`;
      breaks.push(what);
      record('TWO', { what });
    }
    engine.highestEpoch = order.epoch;
    const { group: name, epoch, members } = order;
    const group = { name, epoch, members, rank: members.indexOf(engine.id), state: 'joining' };
    engine.group = group;
    engine.model = order.model;
    setState(engine, group, 'joining');
    setTimeout(() => setState(engine, group, 'ready'), SAME_MODEL_JOIN_MS);
    return 202;
  };
  const finishClose = (engine, group) => {
    for (const response of engine.requests) response.destroy();
    setState(engine, group, 'ready');
  };
  const carryOut = (engine, order) => {
    if (order.operation === 'join') return join(engine, order);
    if (order.operation === 'stage') return 202;
    const { group } = engine;
    if (group?.name !== order.group || group.epoch !== order.epoch) return 409;
    if (order.operation === 'leave') {
      engine.group = undefined;
      publish(engine);
      return 202;
    }
    if (order.operation === 'open') {
      if (group.rank !== 0 || group.state !== 'ready') return 409;
      setTimeout(() => group.state === 'ready' && setState(engine, group, 'open'), FORM_MS);
      return 202;
    }
    if (!isServing(engine)) return 409;
    if (order.close_mode === 'queue' && engine.requests.size > 0)
      setState(engine, group, 'closing');
    else finishClose(engine, group);
    return 202;
  };
  const handleOrder = async (engine, order, response) => {
    const key = JSON.stringify(order);
    const count = (engine.orders.get(key) ?? 0) + 1;
    engine.orders.set(key, count);
    const lateMs = planOrder(engine, order, count);
    const fields = { engine: engine.id, operation: order.operation, group: order.group, count };
    if (lateMs === undefined) {
      const status = carryOut(engine, order);
      record('order', { ...fields, status });
      response.writeHead(status, { 'Content-Length': 0 }).end();
      return;
    }
    record('order unanswered', { ...fields, lateMs });
    await wait(lateMs);
    record('order carried out late', { ...fields, status: carryOut(engine, order) });
  };
  const serve = async (engine, request, response) => {
    const attempt = request.headers['x-attempt-id'] ?? '';
    const headers = { 'X-Attempt-Id': attempt, 'X-Instance-Id': engine.id };
    if (engine.group?.state !== 'open') {
      const status = engine.group?.rank > 0 ? 421 : 503;
      response.writeHead(status, { ...headers, 'X-Not-Executed': '1', 'Content-Length': 0 }).end();
      return;
    }
    record('run', { engine: engine.id, attempt, group: engine.group.name });
    engine.requests.add(response);
    const { group } = engine;
    response.once('close', () => {
      engine.requests.delete(response);
      if (group.state === 'closing' && engine.requests.size === 0) finishClose(engine, group);
    });
    response.writeHead(200, {
      ...headers,
      'Content-Type': 'text/event-stream',
      'X-Response-Signature': `${engine.id}.${attempt}`,
    });
    const from = Number(request.headers['last-event-id'] ?? 0);
    for (let id = from + 1; id <= EVENTS && !response.destroyed; id++) {
      if (!isLost(engine, request.socket))
        response.write(`id: ${id}\ndata: ${engine.id} ${id}\n\n`);
      await wait(EVENT_MS);
    }
    if (!response.destroyed && !isLost(engine, request.socket)) response.end();
  };

  for (const { id, zone, domain } of engines) {
    const engine = {
      id,
      zone,
      domain,
      born: Date.now(),
      seq: 0,
      model,
      group: undefined,
      highestEpoch: -1,
      isCut: false,
      reachedPids: undefined,
      requests: new Set(),
      orders: new Map(),
    };
    const server = createServer(async (request, response) => {
      const body = await readBody(request);
      const expected = request.headers['x-expect-instance'];
      if (expected !== undefined && expected !== id) {
        response.writeHead(421, { 'X-Instance-Id': id, 'Content-Length': 0 }).end();
      } else if (request.url === '/order') await handleOrder(engine, JSON.parse(body), response);
      else if (request.url === '/report') {
        const text = JSON.stringify({ ...describe(engine), busy: false, seq: engine.seq });
        const type = { 'Content-Type': 'application/json' };
        response.writeHead(200, { ...type, 'Content-Length': text.length }).end(text);
      } else await serve(engine, request, response);
    });
    const sockets = new Set();
    const listener = createListener((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => sockets.delete(socket));
      // What a partition holds back is neither answered nor refused.
      if (!isLost(engine, socket)) server.emit('connection', socket);
    });
    listener.listen(0, host);
    await once(listener, 'listening');
    engine.address = `${host}:${listener.address().port}`;
    engine.stop = () => {
      clearInterval(engine.timer);
      sockets.forEach((socket) => socket.destroy());
      listener.close();
    };
    all.set(id, engine);
    publish(engine);
    engine.timer = setInterval(() => publish(engine), heartbeatMs);
  }
  return {
    breaks,
    get: (id) => all.get(id),
    list: () => [...all.values()],
    /** Cuts the paths between engines and all processes but some; heals them without a list. */
    setReachedPids: (ids, pids) => {
      for (const id of ids) all.get(id).reachedPids = pids;
      const what = pids === undefined ? 'path to a gateway back' : 'path to a gateway lost';
      record(what, { engines: ids.join(' ') });
    },
    /** Partitions engines from the store, or heals them. */
    setCut: (ids, isCut) => {
      for (const id of ids) all.get(id).isCut = isCut;
      record(isCut ? 'cut from the store' : 'store reached again', { engines: ids.join(' ') });
    },
    stop: () => {
      for (const engine of all.values()) engine.stop();
    },
  };
}
