import type { FastifyInstance, FastifyReply } from 'fastify';
import { z } from 'zod';
import type { WriteResult } from '../../core/object-api/index.ts';
import { WriteOutcome } from '../../core/object-api/index.ts';
import type { TimerService } from '../../core/timers/index.ts';
import type { ObjectStore, PlatformCounters, PlatformFaults } from './types.ts';
import type { VmList } from './vm-list.ts';
import { waitForChanges } from './watches.ts';

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_CONFLICT = 409;

const writeParametersSchema = z.object({
  baseVersion: z.coerce.number().int().min(0),
  writeId: z.string().min(1),
});
const writeBodySchema = writeParametersSchema.extend({ value: z.unknown() });
const watchQuerySchema = z.object({
  since: z.coerce.number().int().min(0).default(0),
  timeoutMs: z.coerce.number().int().min(0).default(0),
});

interface ObjectPath {
  kind: string;
  name: string;
}

/** State that the routes of the platform share. */
export interface PlatformContext {
  store: ObjectStore;
  vms: VmList;
  faults: PlatformFaults;
  counters: PlatformCounters;
  timers: Pick<TimerService, 'waitFor' | 'scheduleOnce'>;
}

/** Closes the connection without a response and counts the call as unanswered. */
export function closeWithoutResponse(
  counters: PlatformCounters,
  reply: FastifyReply,
): FastifyReply {
  counters.unanswered += 1;
  reply.hijack();
  reply.raw.socket?.destroy();
  return reply;
}

/** Applies a write and sends its result, subject to `lateWrites` and `loseWriteAnswers`. */
async function handleWrite(
  context: PlatformContext,
  reply: FastifyReply,
  write: () => WriteResult,
): Promise<FastifyReply> {
  const { counters, faults, timers } = context;
  counters.writes += 1;
  if (faults.lateWrites > 0) {
    faults.lateWrites -= 1;
    timers.scheduleOnce(faults.lateWriteMs, write);
    return closeWithoutResponse(counters, reply);
  }
  const result = write();
  if (result.outcome === WriteOutcome.Conflict) {
    counters.conflicts += 1;
    return reply.code(HTTP_CONFLICT).send({ current: result.current ?? null });
  }
  if (faults.loseWriteAnswers > 0) {
    faults.loseWriteAnswers -= 1;
    return closeWithoutResponse(counters, reply);
  }
  return reply.send({ version: result.version });
}

/**
 * Returns a signal that aborts when the response closes. The socket would not do: on a keep-alive
 * connection it stays open after the watch.
 */
function createAbortSignal(reply: FastifyReply): AbortSignal {
  const controller = new AbortController();
  reply.raw.once('close', () => controller.abort());
  return controller.signal;
}

/** Adds the routes that write and delete objects. */
export function addWriteRoutes(server: FastifyInstance, context: PlatformContext): void {
  server.put<{ Params: ObjectPath }>('/objects/:kind/:name', async (request, reply) => {
    const body = writeBodySchema.safeParse(request.body);
    if (!body.success) return reply.code(HTTP_BAD_REQUEST).send({ problem: body.error.message });
    return handleWrite(context, reply, () =>
      context.store.writeObject({ ...request.params, ...body.data }),
    );
  });
  server.delete<{ Params: ObjectPath }>('/objects/:kind/:name', async (request, reply) => {
    const query = writeParametersSchema.safeParse(request.query);
    if (!query.success) return reply.code(HTTP_BAD_REQUEST).send({ problem: query.error.message });
    return handleWrite(context, reply, () =>
      context.store.deleteObject({ ...request.params, ...query.data }),
    );
  });
}

/** Adds the routes that read and watch objects and list VMs. */
export function addReadRoutes(server: FastifyInstance, context: PlatformContext): void {
  const { store, counters } = context;
  server.get<{ Params: ObjectPath }>('/objects/:kind/:name', async (request, reply) => {
    counters.reads += 1;
    const object = store.getObject(request.params.kind, request.params.name);
    if (object === undefined) return reply.code(HTTP_NOT_FOUND).send({ problem: 'no such object' });
    return object;
  });
  server.get<{ Params: { kind: string } }>('/objects/:kind', async (request) => {
    counters.reads += 1;
    return { objects: store.listObjects(request.params.kind) };
  });
  server.get<{ Params: { kind: string } }>('/watch/:kind', async (request, reply) => {
    const query = watchQuerySchema.safeParse(request.query);
    if (!query.success) return reply.code(HTTP_BAD_REQUEST).send({ problem: query.error.message });
    counters.watches += 1;
    return waitForChanges(store, context.timers, counters, {
      kind: request.params.kind,
      sinceVersion: query.data.since,
      timeoutMs: query.data.timeoutMs,
      signal: createAbortSignal(reply),
    });
  });
  server.get('/vms', async () => {
    counters.vmLists += 1;
    return { vms: context.vms.listVms(context.faults.vmListLagMs) };
  });
}
