import type { FastifyReply, FastifyRequest } from 'fastify';
import { z } from 'zod';
import type { TimerService } from '../../core/timers/index.ts';
import { Priority } from '../../core/domain-types/index.ts';
import type { FaultServer } from '../faults/index.ts';
import { Refusal } from './member.ts';
import type { EngineMember } from './member.ts';
import type { EngineBehaviour } from './settings.ts';
import { writeStream } from './stream-writer.ts';
import type { EngineStream } from './types.ts';

const STATUS_BY_REFUSAL: Record<Refusal, number> = {
  [Refusal.StaleEpoch]: 409,
  [Refusal.NotLeader]: 409,
  [Refusal.NotReady]: 503,
  [Refusal.WrongGroup]: 409,
  [Refusal.ContinuationMismatch]: 400,
  [Refusal.Overloaded]: 503,
};
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;
const HTTP_NO_CONTENT = 204;

const countSchema = z.number().int().min(0);

const orderSchema = z.strictObject({
  epoch: countSchema,
  group: z.string().nullable(),
  generation: countSchema,
  rank: countSchema,
  size: countSchema,
  leader: z.string().nullable(),
  members: z.array(z.string()),
  model: z.string().nullable(),
  modelVersion: z.string().nullable(),
});

const completionSchema = z.object({
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.number().int().min(1),
  continuation: z.array(z.string()).default([]),
});

const memberReportSchema = z.strictObject({
  group: z.string(),
  generation: countSchema,
  rank: countSchema,
});

const streamParametersSchema = z.object({ id: z.string() });
const streamQuerySchema = z.object({ offset: z.coerce.number().int().min(0).default(0) });

/** Dependencies of the routes of an engine member. */
export interface EngineRouteOptions {
  server: FaultServer;
  member: EngineMember;
  behaviour: EngineBehaviour;
  timers: TimerService;
  createId: () => string;
}

function getHeader(request: FastifyRequest, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function sendRefusal(reply: FastifyReply, refusal: Refusal): FastifyReply {
  return reply.status(STATUS_BY_REFUSAL[refusal]).send({ error: refusal });
}

function sendBadRequest(reply: FastifyReply, error: z.ZodError): FastifyReply {
  return reply.status(HTTP_BAD_REQUEST).send({ error: 'invalid', problem: error.message });
}

/** Adds the engine API to the server of an engine member: status, orders and completions. */
export function addEngineRoutes(options: EngineRouteOptions): void {
  const { server, member, behaviour, timers, createId } = options;
  const { app } = server;

  const buildHeaders = (streamId: string): Record<string, string> => {
    const status = member.getStatus();
    return {
      'x-stream-id': streamId,
      'x-group': status.group ?? '',
      'x-generation': String(status.generation),
      'x-instance-id': status.instanceId,
      'x-load': JSON.stringify(status.load),
      'x-warm': String(status.warm),
    };
  };

  const sendStream = (
    request: FastifyRequest,
    reply: FastifyReply,
    stream: EngineStream,
    offset: number,
  ): Promise<void> =>
    writeStream(request, reply, stream, {
      server,
      timers,
      heartbeatMs: behaviour.heartbeatMs,
      headers: buildHeaders(stream.id),
      offset,
    });

  app.get('/status', () => member.getStatus());
  app.get('/counters', () => member.counters);

  app.post('/orders', (request, reply) => {
    const order = orderSchema.safeParse(request.body);
    if (!order.success) return sendBadRequest(reply, order.error);
    const refusal = member.applyOrder(order.data);
    return refusal === undefined ? reply.send(member.getStatus()) : sendRefusal(reply, refusal);
  });

  app.post('/members', (request, reply) => {
    const report = memberReportSchema.safeParse(request.body);
    if (!report.success) return sendBadRequest(reply, report.error);
    const isAccepted = member.handleMemberReport(report.data);
    return reply.status(isAccepted ? HTTP_NO_CONTENT : HTTP_CONFLICT).send();
  });

  app.post('/v1/completions', async (request, reply) => {
    const body = completionSchema.safeParse(request.body);
    if (!body.success) return sendBadRequest(reply, body.error);
    const generation = getHeader(request, 'x-generation');
    const completion = {
      requestId: getHeader(request, 'x-request-id') ?? createId(),
      attemptId: getHeader(request, 'x-attempt-id') ?? createId(),
      priority: getHeader(request, 'x-priority') ?? Priority.Normal,
      model: body.data.model,
      prompt: body.data.prompt,
      maxTokens: body.data.max_tokens,
      continuation: body.data.continuation,
    };
    const stream = member.addRequest(
      completion,
      getHeader(request, 'x-group'),
      generation === undefined ? undefined : Number(generation),
    );
    if (typeof stream === 'string') return sendRefusal(reply, stream);
    await sendStream(request, reply, stream, stream.firstOffset);
    return reply;
  });

  app.get('/v1/streams/:id', async (request, reply) => {
    const { id } = streamParametersSchema.parse(request.params);
    const query = streamQuerySchema.safeParse(request.query);
    if (!query.success) return sendBadRequest(reply, query.error);
    const stream = member.findStream(id);
    if (stream === undefined) return reply.status(HTTP_NOT_FOUND).send({ error: 'no-stream' });
    if (query.data.offset > stream.endOffset) {
      return reply.status(HTTP_BAD_REQUEST).send({ error: 'offset-too-large' });
    }
    member.counters.resumed++;
    await sendStream(request, reply, stream, query.data.offset);
    return reply;
  });

  app.delete('/v1/streams/:id', (request, reply) => {
    const { id } = streamParametersSchema.parse(request.params);
    const stream = member.findStream(id);
    if (stream === undefined) return reply.status(HTTP_NOT_FOUND).send({ error: 'no-stream' });
    member.cancelStream(stream);
    return reply.status(HTTP_NO_CONTENT).send();
  });
}
