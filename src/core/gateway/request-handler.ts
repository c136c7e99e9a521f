import type {
  CallerRequest,
  CallerSink,
  ForwardedRequest,
  ForwardingDependencies,
} from '../forwarding/index.ts';
import { FailureReason, Outcome, forwardRequest } from '../forwarding/index.ts';
import type { RequestLog } from './request-log.ts';
import type { CustomerRoute } from '../serving/index.ts';
import { chooseService } from './choose-service.ts';
import type { RoutingTable } from './routing-table.ts';

/** Options of the request handler. */
export interface RequestHandlerOptions {
  forwardingDependencies: ForwardingDependencies;
  requestLog: RequestLog;
  /** Routing table in force; undefined until a configuration has been read. */
  getRoutingTable(): RoutingTable | undefined;
  /** Whether the process is stopping and refuses new requests. */
  isRefusing(): boolean;
}

/** Authorizes callers' requests and forwards them to targets. */
export interface RequestHandler {
  /** Starts to forward a request; returns undefined if it was refused without being sent. */
  handleRequest(
    request: CallerRequest,
    body: Buffer,
    sink: CallerSink,
  ): ForwardedRequest | undefined;
  countInProgress(): number;
  /** Whether a caller's request has arrived since the process started. */
  hasReceivedRequests(): boolean;
}

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_LARGE = 413;
const HTTP_UNAVAILABLE = 503;

/** `Retry-After` of a gateway that is stopping; the caller tries another gateway. */
const STOPPING_RETRY_AFTER_MS = 50;
/** `Retry-After` of a gateway that has no configuration or no matching service yet. */
const STARTING_RETRY_AFTER_MS = 250;

const EMPTY_BODY = Buffer.alloc(0);

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
  let inProgress = 0;
  let hasReceivedRequests = false;

  const refuse = (
    request: CallerRequest,
    sink: CallerSink,
    status: number,
    reason: FailureReason,
    retryAfterMs?: number,
  ): undefined => {
    const headers =
      retryAfterMs === undefined ? [] : forwardingDependencies.wire.buildRetryHeaders(retryAfterMs);
    sink.sendResponse(status, headers, EMPTY_BODY);
    const outcome = status === HTTP_UNAVAILABLE ? Outcome.NotRun : Outcome.Rejected;
    requestLog.recordRefusal(request, status, outcome, reason, getRoutingTable()?.version);
    return undefined;
  };

  return {
    handleRequest(request, body, sink) {
      hasReceivedRequests = true;
      const arrivedMs = forwardingDependencies.timers.getMonotonicMs();
      const table = getRoutingTable();
      if (table === undefined) {
        return refuse(
          request,
          sink,
          HTTP_UNAVAILABLE,
          FailureReason.NoConfiguration,
          STARTING_RETRY_AFTER_MS,
        );
      }
      if (isRefusing()) {
        return refuse(
          request,
          sink,
          HTTP_UNAVAILABLE,
          FailureReason.Stopping,
          STOPPING_RETRY_AFTER_MS,
        );
      }
      const route = table.findRoute(request.host, request.path);
      if (route === undefined) return refuse(request, sink, HTTP_NOT_FOUND, FailureReason.NoRoute);
      const access = checkAccess(request, route, table);
      if ('isDenied' in access) {
        return refuse(request, sink, HTTP_UNAUTHORIZED, FailureReason.UnknownKey);
      }
      if (body.length > table.configuration.limits.maxBodyBytes) {
        return refuse(request, sink, HTTP_TOO_LARGE, FailureReason.TooLarge);
      }
      const service = table.findService(chooseService(route, forwardingDependencies.random) ?? '');
      if (service === undefined) {
        return refuse(
          request,
          sink,
          HTTP_UNAVAILABLE,
          FailureReason.NoTarget,
          STARTING_RETRY_AFTER_MS,
        );
      }
      inProgress++;
      const limitMs = Math.min(route.timeoutMs, request.deadlineMs ?? route.timeoutMs);
      const { customer } = access;
      const input = {
        request,
        body,
        route,
        service,
        customer,
        arrivedMs,
        dueMs: arrivedMs + limitMs,
        configurationVersion: table.version,
      };
      return forwardRequest(input, sink, forwardingDependencies, (result) => {
        inProgress--;
        requestLog.recordResult(input, result);
      });
    },
    countInProgress: () => inProgress,
    hasReceivedRequests: () => hasReceivedRequests,
  };
}
