import type { IncomingMessage, ServerResponse } from 'node:http';
import { DEADLY_PART } from './prompt-parts.ts';
import type { ResponseBody, TargetEnvironment, SoakTarget } from './soak-targets.ts';
import {
  buildLifecycle,
  ENTRY_EXPIRY_MS,
  checkExpectedInstance,
  getAttemptId,
  HTTP_MISDIRECTED,
  HTTP_OK,
  readBody,
  sendJson,
  startProxiedServer,
} from './soak-targets.ts';

interface Membership {
  name: string;
  epoch: number;
  rank: number;
  state: 'joining' | 'ready' | 'open' | 'closing' | 'broken';
  members: string[];
}

/** State of one engine. */
interface EngineState {
  group: Membership | undefined;
  model: string | undefined;
  staged: string[];
  highestEpoch: number;
  state: 'ready' | 'draining';
  address: string;
  /** Requests in progress. */
  running: number;
  /** Requests per second that it takes; undefined without a limit. */
  requestsPerSecond: number | undefined;
  /** When it stated its limit first; undefined before. */
  limitStatedMs: number | undefined;
  /** Whether it is cut from the store. */
  isCut: boolean;
  /** Whether calls of the leader do not reach it. */
  isHidden: boolean;
  /** Wall time of its start, which tells it from others under its id. */
  bornMs: number;
}

interface GroupOrder {
  operation: string;
  group: string;
  epoch: number;
  model: string;
  members: string[];
}

const LOAD_MS = 300;
const JOIN_MS = 100;
const OPEN_MS = 50;
/** Time after which a group without a member breaks; the gateways have the same setting. */
const STALL_MS = 5_000;
const EVENT_PERIOD_MS = 25;
const EVENT_COUNT = 20;
const HTTP_ACCEPTED = 202;
const HTTP_CONFLICT = 409;
const HTTP_OUTDATED = 412;
const HTTP_UNAVAILABLE = 503;

/** Range of the limits that engines state, in requests per second. */
const MIN_LIMIT = 0.5;
const LIMIT_SPREAD = 1.5;

/** Simulated engines of one service, which join and leave groups on order. */
export interface EngineFleet {
  startEngine(id: string, zone: string, domain: string): Promise<SoakTarget>;
  /** Returns the models that have an open group. */
  listOpenModels(): string[];
  /** Cuts an engine from the store, so that its entry stays as it is and then lapses, or heals it. */
  setCut(id: string, isCut: boolean): void;
  /** Leaves the orders to an engine, and the questions for its state, without an answer, or heals it. */
  setHidden(id: string, isHidden: boolean): void;
  /** Has all engines write their entries again, as after a restoration of the store. */
  publishAll(): void;
}

function hasDeadlyPart(incoming: IncomingMessage): boolean {
  return String(incoming.headers['x-prompt-prefix'] ?? '').startsWith(`${DEADLY_PART}:`);
}

/** Creates an empty fleet of engines; `handleDeadlyRequest` has to crash the engine that it names. */
export function createEngineFleet(
  environment: TargetEnvironment,
  service: string,
  handleDeadlyRequest: (id: string) => void,
): EngineFleet {
  const { timers, observations, store } = environment;
  const engines = new Map<string, EngineState>();
  /** Members that have reached the state `ready`, by group and epoch. */
  const readyMembers = new Map<string, Set<string>>();

  const publishers = new Map<string, () => void>();

  const drawLimit = (): number | undefined =>
    environment.limitedShare > 0 && environment.random() < environment.limitedShare
      ? MIN_LIMIT + environment.random() * LIMIT_SPREAD
      : undefined;

  const formatKey = ({ name, epoch }: Membership): string => `${name}/${epoch}`;
  const findOpenHead = (group: Membership): EngineState | undefined => {
    const head = engines.get(group.members[0] ?? '');
    const isOpen = head?.group?.state === 'open' || head?.group?.state === 'closing';
    return isOpen && head.group?.epoch === group.epoch && head.group.name === group.name
      ? head
      : undefined;
  };
  const wasComplete = (group: Membership): boolean => {
    const ready = readyMembers.get(formatKey(group));
    return group.members.every((member) => ready?.has(member) === true);
  };

  /** Whether all members of a group are in it, so that it generates. */
  const hasAllMembers = (group: Membership): boolean =>
    group.members.every((member) => {
      const current = engines.get(member)?.group;
      return current !== undefined && formatKey(current) === formatKey(group);
    });
  /** Breaks a group that a member has left, once the stall time is over. */
  const scheduleBreak = (group: Membership): void => {
    const head = findOpenHead(group);
    if (head === undefined) return;
    const membership = head.group;
    timers.scheduleOnce(STALL_MS, () => {
      if (membership === undefined || head.group !== membership) return;
      if (findOpenHead(group) === head) membership.state = 'broken';
      publishers.get(group.members[0] ?? '')?.();
    });
  };

  return {
    setCut(id, isCut) {
      const engine = engines.get(id);
      if (engine === undefined || engine.isCut === isCut) return;
      engine.isCut = isCut;
      if (!isCut) publishers.get(id)?.();
      else {
        timers.scheduleOnce(ENTRY_EXPIRY_MS, () => {
          if (engine.isCut) store.removeObject('servers', id);
        });
      }
    },
    setHidden(id, isHidden) {
      const engine = engines.get(id);
      if (engine !== undefined) engine.isHidden = isHidden;
    },
    publishAll: () => publishers.forEach((publish) => publish()),
    listOpenModels() {
      const open = [...engines.values()].filter(({ group }) => group?.state === 'open');
      return [...new Set(open.flatMap(({ model }) => model ?? []))];
    },
    async startEngine(id, zone, domain) {
      const engine: EngineState = {
        group: undefined,
        model: undefined,
        staged: [],
        highestEpoch: -1,
        state: 'ready',
        address: '',
        running: 0,
        requestsPerSecond: drawLimit(),
        limitStatedMs: undefined,
        isCut: false,
        isHidden: false,
        bornMs: Math.round(timers.getWallMs()),
      };

      const buildReport = (): object => ({
        domain,
        born: engine.bornMs,
        staged: engine.staged,
        models:
          engine.model === undefined || engine.group === undefined
            ? []
            : [{ name: engine.model, version: 1, adapters: [] }],
        ...(engine.group && { group: engine.group }),
      });
      const publish = (state: 'ready' | 'draining' = engine.state): void => {
        engine.state = state;
        if (!engines.has(id) || engine.isCut) return;
        const { address } = engine;
        store.putObject('servers', id, { service, address, zone, state, ...buildReport() });
      };

      const joinGroup = (order: GroupOrder): number => {
        if (order.epoch < engine.highestEpoch) return HTTP_OUTDATED;
        const { group } = engine;
        if (group?.name === order.group && group.epoch === order.epoch) return HTTP_OK;
        if (group !== undefined && findOpenHead(group) !== undefined) {
          const former = formatKey(group);
          observations.conflictingJoins.push({
            targetId: id,
            group: order.group,
            formerGroup: former,
          });
        }
        if (group !== undefined) scheduleBreak(group);
        engine.highestEpoch = order.epoch;
        const isWarm = engine.model === order.model || engine.staged.includes(order.model);
        engine.model = order.model;
        engine.staged = isWarm ? engine.staged : [order.model];
        const { group: name, epoch, members } = order;
        const rank = members.indexOf(id);
        const membership: Membership = { name, epoch, rank, state: 'joining', members };
        engine.group = membership;
        timers.scheduleOnce(isWarm ? JOIN_MS : LOAD_MS, () => {
          if (engine.group !== membership || membership.state !== 'joining') return;
          membership.state = 'ready';
          const key = formatKey(membership);
          readyMembers.set(key, (readyMembers.get(key) ?? new Set()).add(id));
          publish();
        });
        return HTTP_ACCEPTED;
      };

      const changeGroup = (order: GroupOrder): number => {
        const { group } = engine;
        if (group?.name !== order.group || group.epoch !== order.epoch) return HTTP_CONFLICT;
        if (order.operation === 'leave') {
          scheduleBreak(group);
          engine.group = undefined;
        } else if (order.operation === 'close') {
          if (group.state !== 'open') return HTTP_CONFLICT;
          group.state = engine.running > 0 ? 'closing' : 'ready';
        } else if (order.operation === 'open' && group.state === 'open') return HTTP_OK;
        else if (order.operation === 'open' && group.state === 'ready') {
          timers.scheduleOnce(OPEN_MS, () => {
            if (engine.group === group && group.state === 'ready') group.state = 'open';
            publish();
          });
        } else return HTTP_CONFLICT;
        return HTTP_ACCEPTED;
      };

      const applyOrder = (order: GroupOrder): number => {
        if (order.operation === 'join') return joinGroup(order);
        if (order.operation !== 'stage') return changeGroup(order);
        timers.scheduleOnce(LOAD_MS, () => {
          engine.staged = [order.model];
          publish();
        });
        return HTTP_ACCEPTED;
      };

      const endRun = (): void => {
        engine.running--;
        if (engine.running === 0 && engine.group?.state === 'closing') {
          engine.group.state = 'ready';
          publish();
        }
      };

      const writeEvents = async (
        group: Membership,
        attemptId: string,
        afterEvent: number,
        response: ServerResponse,
      ): Promise<void> => {
        for (let number = afterEvent + 1; number <= EVENT_COUNT; number++) {
          await timers.waitFor(EVENT_PERIOD_MS);
          const canContinue = engine.group === group && response.writable && engines.has(id);
          // A group that lost a member stops generating, but keeps the connection open.
          if (!canContinue) response.destroy();
          if (!canContinue || !hasAllMembers(group)) return;
          const body: ResponseBody = { attemptId, version: undefined, number, last: EVENT_COUNT };
          response.write(`id: ${number}\ndata: ${JSON.stringify(body)}\n\n`);
        }
        response.end();
      };

      const recordLimitedArrival = (): void => {
        const { requestsPerSecond, limitStatedMs } = engine;
        if (requestsPerSecond === undefined || limitStatedMs === undefined) return;
        const statedForMs = timers.getMonotonicMs() - limitStatedMs;
        observations.limitedArrivals.push({ targetId: id, requestsPerSecond, statedForMs });
      };

      /** Builds the header of the limit, for all responses of the engine. */
      const buildLimitHeader = (): Record<string, string> => {
        if (engine.requestsPerSecond === undefined) return {};
        engine.limitStatedMs ??= timers.getMonotonicMs();
        return { 'Server-Limit': engine.requestsPerSecond.toFixed(2) };
      };

      const serveStream = async (
        incoming: IncomingMessage,
        response: ServerResponse,
      ): Promise<void> => {
        const { group } = engine;
        recordLimitedArrival();
        if (group?.rank !== 0 || group.state !== 'open') {
          response.writeHead(group?.rank === 0 ? HTTP_UNAVAILABLE : HTTP_MISDIRECTED, {
            'X-Not-Executed': '1',
            ...buildLimitHeader(),
          });
          response.end();
          return;
        }
        const attemptId = getAttemptId(incoming);
        const isDeadly = hasDeadlyPart(incoming);
        if (isDeadly)
          observations.deadlyArrivals.push({ attemptId, atMs: timers.getMonotonicMs() });
        const afterEvent = Number(incoming.headers['last-event-id'] ?? 0);
        const atMs = timers.getMonotonicMs();
        const isGroupComplete = wasComplete(group);
        observations.runs.push({
          attemptId,
          targetId: id,
          afterEvent,
          isGroupComplete,
          atMs,
        });
        engine.running++;
        response.writeHead(HTTP_OK, {
          'Content-Type': 'text/event-stream',
          'X-Response-Signature': 'signed',
          'X-Attempt-Id': attemptId,
          ...buildLimitHeader(),
        });
        if (isDeadly) {
          await timers.waitFor(EVENT_PERIOD_MS);
          observations.engineCrashesMs.push(timers.getMonotonicMs());
          handleDeadlyRequest(id);
          return;
        }
        await writeEvents(group, attemptId, afterEvent, response).finally(endRun);
      };

      const { server, proxy } = await startProxiedServer(
        environment,
        async (incoming, response) => {
          if (!checkExpectedInstance(id, incoming, response)) return;
          const body = await readBody(incoming);
          const isOfLeader = incoming.url === '/report' || incoming.url === '/order';
          if (isOfLeader && engine.isHidden) return;
          if (incoming.url === '/report') sendJson(response, HTTP_OK, buildReport());
          else if (incoming.url === '/order') {
            const order = JSON.parse(body) as GroupOrder;
            const delayMs = environment.drawOrderDelayMs();
            if (delayMs !== undefined) {
              await timers.waitFor(delayMs);
              if (engines.get(id) !== engine) return;
              observations.lateOrders++;
            }
            const status = applyOrder(order);
            publish();
            if (delayMs === undefined) sendJson(response, status, {});
          } else await serveStream(incoming, response);
        },
      );
      const lifecycle = buildLifecycle(environment, id, server, proxy, publish);
      engine.address = proxy.address;
      engines.set(id, engine);
      publishers.set(id, publish);
      publish();
      return {
        id,
        proxy,
        ...lifecycle,
        async crash() {
          engines.delete(id);
          await lifecycle.crash();
        },
        async leave() {
          await lifecycle.leave();
          engines.delete(id);
        },
      };
    },
  };
}
