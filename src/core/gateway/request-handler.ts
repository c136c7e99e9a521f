import type {
  CallerRequest,
  CallerSink,
  ForwardedRequest,
  ForwardingDependencies,
} from '../forwarding/index.ts';
import { FailureReason, Outcome, forwardRequest } from '../forwarding/index.ts';
import type { MemoryAccount } from '../memory/index.ts';
import type { RequestLog } from './request-log.ts';
import type { CustomerRoute } from '../serving/index.ts';
import { createBeginSink } from './begin-sink.ts';
import { chooseService } from './choose-service.ts';
import type { RoutingTable } from './routing-table.ts';

/** Options of the request handler. */
export interface RequestHandlerOptions {
  forwardingDependencies: ForwardingDependencies;
  requestLog: RequestLog;
  /** Routing table in force; undefined until a configuration has been read. */
  getRoutingTable(): RoutingTable | undefined;
  /** Called when a target's answer to a request of the customer begins. */
  recordBegin(customer: string | undefined): void;
  /** Whether each configuration that must be in force by now is known. */
  isConfigurationCurrent(): boolean;
  /** Whether the process is stopping and refuses new requests. */
  isRefusing(): boolean;
}

/** Reasons for which a request is refused before its body was read. */
export type UnreadReason =
  | FailureReason.TooLarge
  | FailureReason.MemoryFull
  | FailureReason.BodyTimeout
  | FailureReason.TooManyPipelined;

/** Authorizes callers' requests and forwards them to targets. */
export interface RequestHandler {
  /** Refuses a request whose body has not been read, if that is already certain. */
  refuseUnread(request: CallerRequest, sink: CallerSink): boolean;
  /** Refuses a request whose body cannot be read. */
  refuse(request: CallerRequest, sink: CallerSink, reason: UnreadReason): void;
  /**
   * Starts to forward a request; returns undefined if it was refused without being sent. The account
   * holds the bytes of the body.
   */
  handleRequest(
    request: CallerRequest,
    body: Buffer,
    account: MemoryAccount,
    sink: CallerSink,
  ): ForwardedRequest | undefined;
  countInProgress(): number;
  /** Whether a caller's request has arrived since the process started. */
  hasReceivedRequests(): boolean;
}

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_REQUEST_TIMEOUT = 408;
const HTTP_TOO_LARGE = 413;
const HTTP_UNAVAILABLE = 503;

/** `Retry-After` of a gateway that is stopping; the caller tries another gateway. */
const STOPPING_RETRY_AFTER_MS = 50;
/** `Retry-After` of a gateway without a current configuration or a matching service. */
const STARTING_RETRY_AFTER_MS = 250;

const EMPTY_BODY = Buffer.alloc(0);

/** Range of the `Retry-After` of a gateway without memory, which is free once some requests end. */
const MEMORY_RETRY_MIN_MS = 250;
const MEMORY_RETRY_SPREAD_MS = 500;

/** How a request is refused. */
interface Refusal {
  status: number;
  reason: FailureReason;
  retryAfterMs?: number;
}

/** An allowed request. */
interface Admission {
  table: RoutingTable;
  route: CustomerRoute;
  /** Customer of the request; undefined if it is anonymous. */
  customer: string | undefined;
}

/** Statuses that state that the request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([HTTP_REQUEST_TIMEOUT, HTTP_UNAVAILABLE]);

/** Customer of an allowed request (undefined if anonymous), or a denial. */
type AccessResult = { customer: string | undefined } | { isDenied: true };

function checkAccess(
  request: CallerRequest,
  route: CustomerRoute,
  table: RoutingTable,
): AccessResult {
  if (!table.requiresKeys()) return { customer: undefined };
  const customer = request.key === undefined ? undefined : table.findCustomer(request.key);
  if (customer !== undefined) return { customer: customer.name };
  return route.isAnonymousAllowed ? { customer: undefined } : { isDenied: true };
}

/** Creates the request handler. */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
  const { forwardingDependencies, requestLog, getRoutingTable, isRefusing } = options;
  const { isConfigurationCurrent } = options;
  let inProgress = 0;
  let hasReceivedRequests = false;

  const sendRefusal = (request: CallerRequest, sink: CallerSink, refusal: Refusal): void => {
    const { status, reason, retryAfterMs } = refusal;
    const headers =
      retryAfterMs === undefined ? [] : forwardingDependencies.wire.buildRetryHeaders(retryAfterMs);
    sink.sendResponse(status, headers, EMPTY_BODY);
    const outcome = NOT_RUN_STATUSES.has(status) ? Outcome.NotRun : Outcome.Rejected;
    requestLog.recordRefusal(request, status, outcome, reason, getRoutingTable()?.version);
  };

  /** Builds the refusal of what the configuration does not allow, if a newer one cannot allow it. */
  const buildDenial = (status: number, reason: FailureReason): Refusal =>
    isConfigurationCurrent()
      ? { status, reason }
      : {
          status: HTTP_UNAVAILABLE,
          reason: FailureReason.OutdatedConfiguration,
          retryAfterMs: STARTING_RETRY_AFTER_MS,
        };

  const admit = (request: CallerRequest): Admission | Refusal => {
    const table = getRoutingTable();
    if (table === undefined) {
      return {
        status: HTTP_UNAVAILABLE,
        reason: FailureReason.NoConfiguration,
        retryAfterMs: STARTING_RETRY_AFTER_MS,
      };
    }
    if (isRefusing()) {
      return {
        status: HTTP_UNAVAILABLE,
        reason: FailureReason.Stopping,
        retryAfterMs: STOPPING_RETRY_AFTER_MS,
      };
    }
    const route = table.findRoute(request.host, request.path);
    if (route === undefined) return buildDenial(HTTP_NOT_FOUND, FailureReason.NoRoute);
    const access = checkAccess(request, route, table);
    if ('isDenied' in access) return buildDenial(HTTP_UNAUTHORIZED, FailureReason.UnknownKey);
    return { table, route, customer: access.customer };
  };

  const buildUnreadRefusal = (reason: UnreadReason): Refusal => {
    if (reason === FailureReason.TooLarge) return { status: HTTP_TOO_LARGE, reason };
    if (reason === FailureReason.BodyTimeout) return { status: HTTP_REQUEST_TIMEOUT, reason };
    const spreadMs = MEMORY_RETRY_SPREAD_MS * forwardingDependencies.random();
    return { status: HTTP_UNAVAILABLE, reason, retryAfterMs: MEMORY_RETRY_MIN_MS + spreadMs };
  };

  return {
    refuseUnread(request, sink) {
      hasReceivedRequests = true;
      const admission = admit(request);
      if (!('reason' in admission)) return false;
      sendRefusal(request, sink, admission);
      return true;
    },
    refuse(request, sink, reason) {
      sendRefusal(request, sink, buildUnreadRefusal(reason));
    },
    handleRequest(request, body, account, sink) {
      const arrivedMs = forwardingDependencies.timers.getMonotonicMs();
      // The configuration may have changed while the body was read.
      const admission = admit(request);
      if ('reason' in admission) {
        sendRefusal(request, sink, admission);
        return undefined;
      }
      const { table, route, customer } = admission;
      const service = table.findService(chooseService(route, forwardingDependencies.random) ?? '');
      if (service === undefined) {
        sendRefusal(request, sink, {
          status: HTTP_UNAVAILABLE,
          reason: FailureReason.NoTarget,
          retryAfterMs: STARTING_RETRY_AFTER_MS,
        });
        return undefined;
      }
      inProgress++;
      const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
      const input = {
        request,
        body,
        account,
        route,
        service,
        customer,
        arrivedMs,
        dueMs: arrivedMs + limitMs,
        configurationVersion: table.version,
      };
      const beginSink = createBeginSink(sink, () => options.recordBegin(customer));
      return forwardRequest(input, beginSink, forwardingDependencies, (result) => {
        inProgress--;
        requestLog.recordResult(input, result);
      });
    },
    countInProgress: () => inProgress,
    hasReceivedRequests: () => hasReceivedRequests,
  };
}
