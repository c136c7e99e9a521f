import type { FastifyReply } from 'fastify';
import { createRefusalError } from '../calls/index.ts';
import type { AdmissionRefusal } from '../admission/index.ts';
import { createError, ErrorKind, isServingError } from '../errors/index.ts';
import type { ServingErrorInstance } from '../errors/index.ts';
import { CallOutcome } from '../rpc/index.ts';
import type { CallResult } from '../rpc/index.ts';
import { Outcome } from '../domain-types/index.ts';
import { MEMORY_RETRY_MS } from './consts.ts';

const MS_PER_SECOND = 1_000;

const HTTP_OK = 200;
const HTTP_ACCEPTED = 202;
const HTTP_BAD_REQUEST = 400;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_INTERNAL_SERVER_ERROR = 500;
const HTTP_BAD_GATEWAY = 502;
const HTTP_SERVICE_UNAVAILABLE = 503;

const STATUS_BY_KIND: Partial<Record<ErrorKind, number>> = {
  [ErrorKind.LimitReached]: HTTP_TOO_MANY_REQUESTS,
  [ErrorKind.MemoryShort]: HTTP_SERVICE_UNAVAILABLE,
  [ErrorKind.NoTarget]: HTTP_SERVICE_UNAVAILABLE,
  [ErrorKind.OutcomeUnknown]: HTTP_BAD_GATEWAY,
  [ErrorKind.StreamBroken]: HTTP_BAD_GATEWAY,
  [ErrorKind.StreamLost]: HTTP_BAD_GATEWAY,
};

/** Body of error responses, and data of the `error` event of a stream. */
export interface ErrorBody {
  error: { kind: ErrorKind; title: string; message: string; hint: string };
  outcome: Outcome;
}

/** Builds the error body for a serving error. */
export function buildErrorBody(error: ServingErrorInstance, outcome: Outcome): ErrorBody {
  const { kind, title, message, hint } = error;
  return { error: { kind, title, message, hint }, outcome };
}

function setRetryAfter(reply: FastifyReply, retryAfterMs: number): void {
  const seconds = Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND));
  void reply.header('retry-after', String(seconds));
}

/** Sends a serving error; the status defaults to the one of its kind, or 400. */
export function sendError(
  reply: FastifyReply,
  error: ServingErrorInstance,
  outcome = Outcome.NotRun,
  status = STATUS_BY_KIND[error.kind] ?? HTTP_BAD_REQUEST,
): FastifyReply {
  return reply.status(status).header('x-outcome', outcome).send(buildErrorBody(error, outcome));
}

/** Sends the error for a request that admission refused, with a `retry-after` header. */
export function sendRefusal(
  reply: FastifyReply,
  refusal: AdmissionRefusal,
  customer: string,
  route: string,
): FastifyReply {
  setRetryAfter(reply, refusal.retryAfterMs);
  return sendError(reply, createRefusalError(refusal, customer, route));
}

/** Converts a value thrown by a handler into an error response. */
export function sendThrownError(reply: FastifyReply, thrown: unknown): FastifyReply {
  if (isServingError(thrown)) {
    if (thrown.kind === ErrorKind.MemoryShort) setRetryAfter(reply, MEMORY_RETRY_MS);
    return sendError(reply, thrown);
  }
  const { statusCode, message } = thrown as { statusCode?: number; message?: string };
  const problem = message ?? String(thrown);
  if (statusCode !== undefined && statusCode < HTTP_INTERNAL_SERVER_ERROR) {
    const error = createError(ErrorKind.RequestInvalid, { path: 'request', problem });
    return sendError(reply, error, Outcome.NotRun, statusCode);
  }
  const details = { requestId: '', vm: 'a target', problem };
  const error = createError(ErrorKind.OutcomeUnknown, details);
  return sendError(reply, error, Outcome.Unknown, HTTP_INTERNAL_SERVER_ERROR);
}

function createResultError({ outcome, requestId, reason }: CallResult): ServingErrorInstance {
  if (outcome === CallOutcome.NOT_RUN) {
    return createError(ErrorKind.CallNotRun, { requestId, problem: reason });
  }
  return createError(ErrorKind.OutcomeUnknown, { requestId, vm: 'its target', problem: reason });
}

/** Sends the result of a service call: the response of the service, or an error. */
export function sendCallResult(reply: FastifyReply, result: CallResult): FastifyReply {
  void reply.header('x-request-id', result.requestId);
  if (result.outcome === CallOutcome.DONE) {
    result.headers.forEach(({ name, value }) => {
      void reply.header(name, value);
    });
    if (result.bodyDropped) void reply.header('x-body-dropped', 'true');
    return reply
      .status(result.status)
      .header('x-outcome', Outcome.Done)
      .send(Buffer.from(result.body));
  }
  const isNotRun = result.outcome === CallOutcome.NOT_RUN;
  if (isNotRun) setRetryAfter(reply, result.retryAfterMs);
  const outcome = isNotRun ? Outcome.NotRun : Outcome.Unknown;
  return sendError(reply, createResultError(result), outcome, result.status || HTTP_BAD_GATEWAY);
}

const OUTCOME_NAMES: Readonly<Record<CallOutcome, string>> = {
  [CallOutcome.UNSPECIFIED]: Outcome.Unknown,
  [CallOutcome.DONE]: Outcome.Done,
  [CallOutcome.NOT_RUN]: Outcome.NotRun,
  [CallOutcome.UNKNOWN]: Outcome.Unknown,
  [CallOutcome.RUNNING]: 'running',
};

/** Sends the outcome of a call in response to `GET /v1/requests/{id}`. */
export function sendCallOutcome(reply: FastifyReply, result: CallResult): FastifyReply {
  const name = OUTCOME_NAMES[result.outcome];
  const isRunning = result.outcome === CallOutcome.RUNNING;
  const isUnknown = name === (Outcome.Unknown as string);
  if (isUnknown) return sendCallResult(reply, result);
  // The lookup succeeded even if the call did not run, so the status is not an error status.
  return reply
    .status(isRunning ? HTTP_ACCEPTED : HTTP_OK)
    .header('x-outcome', isRunning ? Outcome.Unknown : name)
    .send({
      requestId: result.requestId,
      outcome: name,
      status: result.status,
      headers: result.headers.map((header) => ({ name: header.name, value: header.value })),
      bodyBase64: Buffer.from(result.body).toString('base64'),
      bodyDropped: result.bodyDropped,
      reason: result.reason,
    });
}
