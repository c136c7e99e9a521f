import { Client } from 'undici';
import { z } from 'zod';
import { createError, ErrorKind, formatProblem } from '../core/errors/index.ts';
import { createBoundedConnection } from '../core/http/bounded-connection.ts';
import type { BoundedConnection } from '../core/http/bounded-connection.ts';
import { Consistency, StoreFailure, StoreKind } from '../core/store/index.ts';
import type { StoreClient, StoreObject, StoreResult } from '../core/store/index.ts';
import type { TimerService } from '../core/timers/index.ts';
import { Header } from './headers.ts';
import type { SocketAddress } from './settings.ts';

/** Names of the kinds in the platform's API, which calls targets servers. */
const API_NAME_BY_KIND: Readonly<Record<StoreKind, string>> = {
  [StoreKind.Configuration]: 'config',
  [StoreKind.Evacuations]: 'evacuations',
  [StoreKind.Targets]: 'servers',
  [StoreKind.Gateways]: 'clementinefork-gateways',
  [StoreKind.Duties]: 'clementinefork-duties',
};

const objectSchema = z.object({
  metadata: z.object({
    name: z.string(),
    revision: z.int().nonnegative(),
    deleting: z.boolean().optional(),
  }),
  spec: z.unknown(),
  status: z.unknown(),
});

/** Timeout of a call; the store responds in 4 ms, and on slow days up to 60 times slower. */
const CALL_TIMEOUT_MS = 1_500;
/** Time beyond its wait after which a watch without a response is aborted. */
const WATCH_TIMEOUT_MARGIN_MS = 700;
/** Timeout of establishing a connection; a round trip takes a few ms. */
const CONNECT_TIMEOUT_MS = 1_000;

/**
 * An idle connection is not used again after this time: it may have gone silent, and the call on it
 * would cost a timeout that a follower cannot spare.
 */
const MAX_IDLE_MS = 2_000;

/**
 * Limit on one answer. A page of a list and a value have 1 MB at most; an answer to a watch has no
 * stated limit, and holds several values if several have changed.
 */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Limit on a list; its entries are held whole. */
const MAX_LIST_BYTES = 16 * 1024 * 1024;
/** Limit on the pages of a list, which hold about 500 objects each. */
const MAX_LIST_PAGES = 100;

interface StoreConnection {
  client: Client;
  connection: BoundedConnection;
}

/** A connection without a call, and since when. */
interface IdleConnection extends StoreConnection {
  sinceMs: number;
}

const HTTP_OK = 200;
const HTTP_CREATED = 201;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_GONE = 410;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_UNAVAILABLE = 503;

const FAILURE_BY_STATUS: Readonly<Record<number, StoreFailure>> = {
  [HTTP_NOT_FOUND]: StoreFailure.NotFound,
  [HTTP_CONFLICT]: StoreFailure.Conflict,
  [HTTP_GONE]: StoreFailure.HistoryGone,
  [HTTP_TOO_MANY_REQUESTS]: StoreFailure.NotDone,
  [HTTP_UNAVAILABLE]: StoreFailure.NotDone,
};

const listSchema = z.object({
  items: z.array(objectSchema),
  more: z.boolean().default(false),
  // Store revision at which the page was read.
  as_of: z.int().nonnegative(),
});
const changesSchema = z.object({
  events: z.array(z.object({ object: objectSchema, deleted: z.boolean().default(false) })),
  as_of: z.int().nonnegative(),
});

interface StoreCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  body?: unknown;
  timeoutMs?: number;
}

/** Result of one call, with the length of the answer's body in characters. */
type CallResult<Value> = StoreResult<Value> & { length: number; isTooLong: boolean };

function toStoreObject(object: z.infer<typeof objectSchema>): StoreObject {
  const { name, revision } = object.metadata;
  return { name, revision, spec: object.spec, status: object.status };
}

function formatPath(kind: StoreKind, name?: string): string {
  const path = `/objects/${API_NAME_BY_KIND[kind]}`;
  return name === undefined ? path : `${path}/${encodeURIComponent(name)}`;
}

/** Creates the client of the platform's object store. Each call has a timeout. */
export function createStoreClient(
  address: SocketAddress,
  timers: Pick<TimerService, 'getMonotonicMs' | 'scheduleOnce'>,
): StoreClient {
  const origin = `http://${address.host}:${address.port}`;
  let idleConnections: IdleConnection[] = [];

  const createConnection = (): StoreConnection => {
    const connection = createBoundedConnection({
      maxAnswerBytes: MAX_ANSWER_BYTES,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
    });
    const client = new Client(origin, {
      connect: connection.connect,
      // The timer service enforces the deadlines instead.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    return { client, connection };
  };

  /** Returns the connection used last, and closes those that have been idle for too long. */
  const takeIdleConnection = (): StoreConnection | undefined => {
    const now = timers.getMonotonicMs();
    const old = idleConnections.filter(({ sinceMs }) => now - sinceMs > MAX_IDLE_MS);
    idleConnections = idleConnections.filter(({ sinceMs }) => now - sinceMs <= MAX_IDLE_MS);
    old.forEach(({ client }) => {
      void client.destroy();
    });
    return idleConnections.pop();
  };

  const sendCall = async <Schema extends z.ZodType>(
    call: StoreCall,
    schema: Schema,
  ): Promise<CallResult<z.output<Schema>>> => {
    const { client, connection } = takeIdleConnection() ?? createConnection();
    connection.resetLimit();
    // An abort signal has no effect until the connection is established; destroy() always does.
    const cancelDeadline = timers.scheduleOnce(call.timeoutMs ?? CALL_TIMEOUT_MS, () => {
      void client.destroy(new Error('no response in time'));
    });
    try {
      const response = await client.request({
        method: call.method,
        path: call.path,
        headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
        body: call.body === undefined ? null : JSON.stringify(call.body),
      });
      const text = await response.body.text();
      idleConnections.push({ client, connection, sinceMs: timers.getMonotonicMs() });
      const result = parseResponse(call, response.statusCode, text, schema);
      const era = parseEra(response.headers[Header.StoreEra]);
      return { ...result, era, length: text.length, isTooLong: false };
    } catch (error) {
      // After a lost response, the connection delivers nothing further.
      void client.destroy();
      return {
        kind: StoreFailure.OutcomeUnknown,
        problem: `${call.method} ${call.path}: ${formatProblem(error)}`,
        length: 0,
        isTooLong: connection.isLimitExceeded(),
      };
    } finally {
      cancelDeadline();
    }
  };

  const listPage = async (
    kind: StoreKind,
    after: string | undefined,
    consistency: Consistency,
  ): Promise<CallResult<z.infer<typeof listSchema>>> => {
    const query = new URLSearchParams();
    // Despite its name, after_rev takes the name of the last object of the previous page.
    if (after !== undefined) query.set('after_rev', after);
    if (consistency === Consistency.Stale) query.set('allow_stale', '1');
    const suffix = query.size === 0 ? '' : `?${query.toString()}`;
    return sendCall({ method: 'GET', path: `${formatPath(kind)}${suffix}` }, listSchema);
  };

  return {
    async listObjects(kind, consistency) {
      const objects: StoreObject[] = [];
      let revision = Infinity;
      let era: number | undefined;
      let length = 0;
      for (let pages = 1; ; pages++) {
        const page = await listPage(kind, objects.at(-1)?.name, consistency);
        if (page.kind !== 'ok') return page;
        if (objects.length > 0 && page.era !== era) {
          const problem = 'the store came back from an older copy between two pages';
          return { kind: StoreFailure.NotDone, problem, era: page.era };
        }
        ({ era } = page);
        objects.push(...page.value.items.map(toStoreObject));
        // A watch from the lowest revision returns the changes that the other pages may lack.
        revision = Math.min(revision, page.value.as_of);
        if (!page.value.more || page.value.items.length === 0) break;
        length += page.length;
        if (length > MAX_LIST_BYTES || pages >= MAX_LIST_PAGES) {
          const limits = `${MAX_LIST_BYTES} bytes or ${MAX_LIST_PAGES} pages`;
          const problem = `${formatPath(kind)}: the list exceeds the limit of ${limits}`;
          return { kind: StoreFailure.NotDone, problem, era };
        }
      }
      return { kind: 'ok', value: { objects, revision }, era };
    },
    async watchObjects(kind, sinceRevision, waitMs) {
      const path = `${formatPath(kind)}?watch=${sinceRevision}&wait_ms=${Math.round(waitMs)}`;
      const call: StoreCall = { method: 'GET', path, timeoutMs: waitMs + WATCH_TIMEOUT_MARGIN_MS };
      const result = await sendCall(call, changesSchema);
      if (result.kind !== 'ok') {
        // Changes that are too many for one answer are listed, in pages.
        const failure = result.isTooLong ? StoreFailure.HistoryGone : result.kind;
        return { ...result, kind: failure };
      }
      const events = result.value.events.map(({ object, deleted }) => ({
        object: toStoreObject(object),
        isDeleted: deleted,
      }));
      return { ...result, value: { events, revision: result.value.as_of } };
    },
    async fetchObject(kind, name) {
      const result = await sendCall({ method: 'GET', path: formatPath(kind, name) }, objectSchema);
      return result.kind === 'ok' ? { ...result, value: toStoreObject(result.value) } : result;
    },
    async createObject(kind, name, spec) {
      const body = { metadata: { name }, spec };
      const result = await sendCall({ method: 'POST', path: formatPath(kind), body }, objectSchema);
      return result.kind === 'ok' ? { ...result, value: toStoreObject(result.value) } : result;
    },
    async replaceObject(kind, name, revision, spec) {
      const body = { metadata: { name, revision }, spec };
      const call: StoreCall = { method: 'PUT', path: formatPath(kind, name), body };
      const result = await sendCall(call, objectSchema);
      return result.kind === 'ok' ? { ...result, value: toStoreObject(result.value) } : result;
    },
    async deleteObject(kind, name) {
      const result = await sendCall(
        { method: 'DELETE', path: formatPath(kind, name) },
        z.unknown(),
      );
      return result.kind === 'ok' ? { ...result, value: undefined } : result;
    },
    async close() {
      await Promise.all(idleConnections.splice(0).map(({ client }) => client.destroy()));
    },
  };
}

/** Decodes the store's era; undefined unless it is a whole number. */
function parseEra(value: string | string[] | undefined): number | undefined {
  if (typeof value !== 'string' || !/^\d{1,15}$/.test(value.trim())) return undefined;
  return Number(value);
}

function parseResponse<Schema extends z.ZodType>(
  call: StoreCall,
  status: number,
  text: string,
  schema: Schema,
): StoreResult<z.output<Schema>> {
  const operation = `${call.method} ${call.path}`;
  if (status !== HTTP_OK && status !== HTTP_CREATED) {
    const kind = FAILURE_BY_STATUS[status] ?? StoreFailure.OutcomeUnknown;
    return { kind, problem: `${operation}: HTTP status ${status}` };
  }
  try {
    const parsed = schema.safeParse(text === '' ? undefined : JSON.parse(text));
    if (parsed.success) return { kind: 'ok', value: parsed.data };
    return {
      kind: StoreFailure.OutcomeUnknown,
      problem: `${operation}: ${z.prettifyError(parsed.error)}`,
    };
  } catch (error) {
    const unavailable = createError(ErrorKind.PlatformUnavailable, {
      operation,
      problem: formatProblem(error),
    });
    return { kind: StoreFailure.OutcomeUnknown, problem: unavailable.message };
  }
}
