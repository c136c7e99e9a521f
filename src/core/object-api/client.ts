import type { z } from 'zod';
import { createError, ErrorKind } from '../errors/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { HttpCall, HttpResult } from './http.ts';
import { createHttpSender, HttpResultKind } from './http.ts';
import {
  conflictResponseSchema,
  objectListSchema,
  platformObjectSchema,
  vmListSchema,
  watchResultSchema,
  writeResponseSchema,
} from './schemas.ts';
import type { SettlementEvent } from './settlement.ts';
import { SettlementEventKind } from './settlement.ts';
import type { ObjectDelete, PlatformClient } from './types.ts';
import { settleWrite } from './settle-write.ts';

/** The platform normally responds within milliseconds; longer calls count as not answered. */
const DEFAULT_REQUEST_TIMEOUT_MS = 2_000;
/** Time after which a write that is not settled fails. */
const DEFAULT_SETTLE_TIMEOUT_MS = 10_000;

const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_CONFLICT = 409;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;

/** Address of the platform and deadlines of its calls. */
export interface PlatformClientOptions {
  /** IP address of the object API. */
  address: string;
  port: number;
  timers: Pick<TimerService, 'scheduleOnce' | 'waitFor' | 'getMonotonicMs'>;
  /** Timeout of one call in milliseconds; a watch adds its own timeout. */
  requestTimeoutMs?: number | undefined;
  /** Timeout of a write including its settlement in milliseconds. */
  settleTimeoutMs?: number | undefined;
}

function formatObjectPath({ kind, name }: Pick<ObjectDelete, 'kind' | 'name'>): string {
  return `/objects/${encodeURIComponent(kind)}/${encodeURIComponent(name)}`;
}

function createUnavailableError(operation: string, problem: string): Error {
  return createError(ErrorKind.PlatformUnavailable, { operation, problem });
}

/**
 * Tells whether the status means that the request itself is refused, so that a retry is useless.
 */
function isRefusal(status: number): boolean {
  if (status === HTTP_REQUEST_TIMEOUT || status === HTTP_TOO_MANY_REQUESTS) return false;
  return status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR;
}

/**
 * Returns the validated body of a successful response. Throws `PlatformRefused` if the request is
 * refused and `PlatformUnavailable` for any other result.
 */
function readBody<Schema extends z.ZodType>(
  operation: string,
  result: HttpResult,
  schema: Schema,
): z.infer<Schema> {
  if (result.kind !== HttpResultKind.Answered)
    throw createUnavailableError(operation, result.problem);
  const { status, body } = result;
  if (isRefusal(status)) {
    throw createError(ErrorKind.PlatformRefused, { operation, problem: `HTTP status ${status}` });
  }
  if (status !== HTTP_OK) throw createUnavailableError(operation, `HTTP status ${status}`);
  const checked = schema.safeParse(body);
  if (!checked.success)
    throw createUnavailableError(operation, 'the response body does not match its schema');
  return checked.data;
}

/** Converts the result of a conditional write to an event of its settlement. */
function toWriteEvent(operation: string, result: HttpResult): SettlementEvent {
  if (result.kind === HttpResultKind.NotSent) {
    return { kind: SettlementEventKind.NotSent, problem: result.problem };
  }
  if (result.kind !== HttpResultKind.Answered) {
    return { kind: SettlementEventKind.AnswerLost, problem: result.problem };
  }
  const { status, body } = result;
  const problem = `HTTP status ${status}`;
  const accepted = writeResponseSchema.safeParse(body);
  if (status === HTTP_OK && accepted.success) {
    return { kind: SettlementEventKind.Accepted, version: accepted.data.version };
  }
  const refused = conflictResponseSchema.safeParse(body);
  if (status === HTTP_CONFLICT && refused.success) {
    return { kind: SettlementEventKind.Refused, current: refused.data.current ?? undefined };
  }
  if (status === HTTP_TOO_MANY_REQUESTS) return { kind: SettlementEventKind.NotSent, problem };
  if (isRefusal(status)) throw createError(ErrorKind.PlatformRefused, { operation, problem });
  return { kind: SettlementEventKind.AnswerLost, problem };
}

/** Creates a client for the object API and the VM list of the platform. */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const { timers } = options;
  const requestTimeoutMs = options.requestTimeoutMs ?? DEFAULT_REQUEST_TIMEOUT_MS;
  const settleTimeoutMs = options.settleTimeoutMs ?? DEFAULT_SETTLE_TIMEOUT_MS;
  const sender = createHttpSender(options.address, options.port, timers);

  const sendGet = (path: string, timeoutMs = requestTimeoutMs): Promise<HttpResult> =>
    sender.send({ method: 'GET', path, timeoutMs });

  const fetchWithTimeout = async (
    { kind, name }: Pick<ObjectDelete, 'kind' | 'name'>,
    timeoutMs: number,
  ): ReturnType<PlatformClient['fetchObject']> => {
    const result = await sendGet(formatObjectPath({ kind, name }), timeoutMs);
    const isMissing = result.kind === HttpResultKind.Answered && result.status === HTTP_NOT_FOUND;
    if (isMissing) return undefined;
    return readBody(`Read of ${kind}/${name}`, result, platformObjectSchema);
  };

  const readBack = async (write: ObjectDelete, timeoutMs: number): Promise<SettlementEvent> => {
    try {
      const current = await fetchWithTimeout(write, timeoutMs);
      return { kind: SettlementEventKind.ReadBack, current };
    } catch (error) {
      const problem = error instanceof Error ? error.message : String(error);
      return { kind: SettlementEventKind.ReadFailed, problem };
    }
  };

  const sendAndSettle = (
    write: ObjectDelete,
    call: Omit<HttpCall, 'timeoutMs'>,
  ): ReturnType<PlatformClient['writeObject']> => {
    const operation = `Write of ${write.kind}/${write.name}`;
    return settleWrite(
      write,
      call.method === 'DELETE',
      {
        sendWrite: async (remainingMs) => {
          const timeoutMs = Math.min(requestTimeoutMs, remainingMs);
          return toWriteEvent(operation, await sender.send({ ...call, timeoutMs }));
        },
        readBack: (remainingMs) => readBack(write, Math.min(requestTimeoutMs, remainingMs)),
      },
      timers,
      settleTimeoutMs,
    );
  };

  return {
    fetchObject: (kind, name) => fetchWithTimeout({ kind, name }, requestTimeoutMs),
    async listObjects(kind) {
      const result = await sendGet(`/objects/${encodeURIComponent(kind)}`);
      return readBody(`List of ${kind}`, result, objectListSchema).objects;
    },
    writeObject(write) {
      const { baseVersion, writeId, value } = write;
      const body = { baseVersion, writeId, value };
      return sendAndSettle(write, { method: 'PUT', path: formatObjectPath(write), body });
    },
    deleteObject(write) {
      const query = `?baseVersion=${write.baseVersion}&writeId=${encodeURIComponent(write.writeId)}`;
      return sendAndSettle(write, { method: 'DELETE', path: `${formatObjectPath(write)}${query}` });
    },
    async watchKind(kind, sinceVersion, timeoutMs, signal) {
      const query = `?since=${sinceVersion}&timeoutMs=${timeoutMs}`;
      const path = `/watch/${encodeURIComponent(kind)}${query}`;
      const call: HttpCall = { method: 'GET', path, timeoutMs: timeoutMs + requestTimeoutMs };
      const result = await sender.send({ ...call, signal });
      return readBody(`Watch of ${kind}`, result, watchResultSchema);
    },
    async fetchVms() {
      return readBody('Read of the VM list', await sendGet('/vms'), vmListSchema).vms;
    },
    close: () => sender.close(),
  };
}
