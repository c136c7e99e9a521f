import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { PlacementSourceRequest, Ticket } from '../admission/index.ts';
import { createError, ErrorKind } from '../errors/index.ts';
import { NoTargetReason } from '../routing/index.ts';
import { createAnswerStream, decodeResumeToken, getRequestIdOfAttempt } from '../streams/index.ts';
import type { AnswerSink, AnswerStream, PlacementResult, ResumePoint } from '../streams/index.ts';
import { computePrefixKey, countPromptTokens, parseCompletion } from './completion-format.ts';
import type { CompletionBody } from './completion-format.ts';
import { getPriority, readCallerHeaders } from './headers.ts';
import { sendRefusal } from './replies.ts';
import { createSseSink } from './sse-sink.ts';
import type { CallerHeaders, CallerServerOptions } from './types.ts';
import { createJsonSink } from './json-sink.ts';

/** A validated completion request. */
interface Completion {
  /** Request id; a resumed completion keeps the one of the first request. */
  id: string;
  headers: CallerHeaders;
  body: CompletionBody;
  /** Estimated prompt tokens plus maximum answer tokens. */
  tokens: number;
  resumePoint: ResumePoint | undefined;
}

/** Registry of the running streams of a server. */
export interface StreamRegistry {
  add(stream: AnswerStream): void;
}

function createAbortSignal({ raw }: FastifyReply): AbortSignal {
  const abort = new AbortController();
  raw.once('close', () => abort.abort());
  return abort.signal;
}

/**
 * Reads the resume token of the `last-event-id` header. Throws `StreamLost` when the token has no
 * stream id or points before the start of its stream: such an answer can't be resumed.
 */
function readResumePoint({ lastEventId }: CallerHeaders): ResumePoint | undefined {
  if (lastEventId === undefined) return undefined;
  const resumePoint = decodeResumeToken(lastEventId);
  const { attempt, offset } = resumePoint;
  if (resumePoint.streamId !== '' && offset + 1 >= resumePoint.firstOffset) return resumePoint;
  const problem = 'the stream had lost its target when the token was issued';
  const details = { requestId: getRequestIdOfAttempt(attempt), offset: offset + 1, problem };
  throw createError(ErrorKind.StreamLost, details);
}

/** Adds `POST /v1/completions`. */
export function addCompletionRoutes(
  app: FastifyInstance,
  options: CallerServerOptions,
  running: StreamRegistry,
): void {
  const { timers, events, metrics, directory, source } = options;

  const readCompletion = ({ headers: raw, body: value }: FastifyRequest): Completion => {
    const headers = readCallerHeaders(raw);
    const body = parseCompletion(value);
    const resumePoint = readResumePoint(headers);
    const id =
      resumePoint === undefined
        ? (headers.requestId ?? options.createRequestId())
        : getRequestIdOfAttempt(resumePoint.attempt);
    const tokens = countPromptTokens(body.prompt) + body.max_tokens;
    return { id, headers, body, tokens, resumePoint };
  };

  const buildPlacedRequest = (
    { headers, body, tokens }: Completion,
    excludedVms: ReadonlySet<string>,
  ): PlacementSourceRequest => ({
    customer: headers.customer,
    route: body.model,
    priority: getPriority(headers),
    tokens,
    prefixKey: computePrefixKey(headers.customer, body),
    excludedVms,
    listTargets: () => directory.listModelTargets(headers.customer, body.model),
  });

  /**
   * Builds the request for resuming a stream. The stream stays at its target, so only the limits of
   * the customer apply.
   */
  const buildResumeRequest = (
    completion: Completion,
    point: ResumePoint,
  ): PlacementSourceRequest => ({
    ...buildPlacedRequest(completion, new Set()),
    listTargets() {
      const target = options.findRunningTarget(point.vm);
      // The stream already holds its memory and its slot at the target.
      return target === undefined ? [] : [{ ...target, warm: true, weight: 1 }];
    },
  });

  const acquirePlacement = async (
    completion: Completion,
    ticket: Ticket,
    excludedVms: ReadonlySet<string>,
  ): Promise<PlacementResult> => {
    const request = buildPlacedRequest(completion, excludedVms);
    const { placement, refusal } = await source.acquire({ ...request, ticket });
    return placement === undefined ? { refusal } : { placement };
  };

  const createSink = (completion: Completion, reply: FastifyReply): AnswerSink => {
    const metadata = { requestId: completion.id, model: completion.body.model };
    const isStream = completion.body.stream || completion.resumePoint !== undefined;
    if (!isStream) return createJsonSink(reply, metadata);
    reply.hijack();
    return createSseSink(reply.raw, metadata, timers);
  };

  const recordCompletionEnd = (
    { id, headers }: Completion,
    stream: AnswerStream,
    startMs: number,
    outcome: string,
  ): void => {
    const durationMs = timers.getMonotonicMs() - startMs;
    metrics.timing('completions.duration', durationMs, { customer: headers.customer, outcome });
    metrics.increment('completions.tokens', stream.countTokens(), { customer: headers.customer });
    events.record('http', 'completion-ended', { request: id, outcome });
  };

  const runCompletion = async (completion: Completion, reply: FastifyReply): Promise<void> => {
    const { id, headers, body, tokens, resumePoint } = completion;
    const startMs = timers.getMonotonicMs();
    events.record('http', 'completion-received', { request: id, customer: headers.customer });
    const request =
      resumePoint === undefined
        ? buildPlacedRequest(completion, new Set())
        : buildResumeRequest(completion, resumePoint);
    const signal = createAbortSignal(reply);
    const { ticket, placement, refusal } = await source.acquire({ ...request, signal });
    if (refusal !== undefined) {
      const reason = refusal.limit ?? refusal.reason ?? NoTargetReason.NoCapacity;
      events.record('http', 'completion-refused', { request: id, reason });
      sendRefusal(reply, refusal, headers.customer, body.model);
      return;
    }
    if (signal.aborted) {
      placement.release();
      ticket.release(0);
      return;
    }
    const stream = createAnswerStream({
      dependencies: options.answerDependencies,
      request: {
        id,
        model: body.model,
        prompt: body.prompt,
        maxTokens: body.max_tokens,
        priority: getPriority(headers),
      },
      placement,
      sink: createSink(completion, reply),
      ...(resumePoint !== undefined && { resumePoint }),
      acquirePlacement: (excludedVms) => acquirePlacement(completion, ticket, excludedVms),
    });
    running.add(stream);
    const outcome = await stream.finished;
    ticket.release(tokens - body.max_tokens + stream.countTokens());
    recordCompletionEnd(completion, stream, startMs, outcome);
  };

  app.post('/v1/completions', async (request, reply) => {
    await runCompletion(readCompletion(request), reply);
    return reply;
  });
}
