import type { FastifyReply } from 'fastify';
import { z } from 'zod';
import type { TimerService } from '../../core/timers/index.ts';
import type { FaultServer } from '../faults/index.ts';
import type { BookingLog } from './booking-log.ts';
import type { ServiceBehaviour } from './settings.ts';
import type { ServiceTargetState } from './target.ts';

const HTTP_CREATED = 201;
const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

const stockParametersSchema = z.object({ item: z.string() });

/** Dependencies of the routes of a service target. */
export interface ServiceRouteOptions {
  vm: string;
  server: FaultServer;
  state: ServiceTargetState;
  bookings: BookingLog;
  behaviour: ServiceBehaviour;
  timers: TimerService;
}

/** Adds the service API to the server of a target: status, bookings and stock. */
export function addServiceRoutes(options: ServiceRouteOptions): void {
  const { vm, server, state, bookings, behaviour, timers } = options;
  const { app } = server;

  const addHeaders = (reply: FastifyReply): void => {
    const status = state.getStatus();
    void reply.headers({
      'x-instance-id': status.instanceId,
      'x-load': JSON.stringify(status.load),
      'x-warm': String(status.warm),
    });
  };

  const runCall = async (reply: FastifyReply, run: () => FastifyReply): Promise<FastifyReply> => {
    addHeaders(reply);
    const isAccepted = state.startCall();
    if (isAccepted) {
      await timers.waitFor(behaviour.workMs);
      await server.waitWhileFrozen();
    }
    if (!isAccepted || !state.finishCall()) {
      return reply.status(HTTP_UNAVAILABLE).send({ error: 'overloaded' });
    }
    return run();
  };

  app.get('/status', () => state.getStatus());
  app.get('/counters', () => ({ coldOverloads: state.countOverloads() }));
  app.get('/bookings', () => ({ bookings: bookings.listBookings() }));

  app.post('/bookings', (request, reply) => {
    const requestId = request.headers['x-request-id'];
    if (typeof requestId !== 'string') {
      return reply.status(HTTP_BAD_REQUEST).send({ error: 'x-request-id is missing' });
    }
    return runCall(reply, () => {
      const { runs } = bookings.addRun(requestId, vm, request.body ?? null);
      return reply.status(HTTP_CREATED).send({ requestId, runs });
    });
  });

  app.get('/stock/:item', (request, reply) => {
    const { item } = stockParametersSchema.parse(request.params);
    return runCall(reply, () => {
      const quantity = behaviour.stock[item];
      if (quantity === undefined) return reply.status(HTTP_NOT_FOUND).send({ error: 'no-item' });
      return reply.send({ item, quantity });
    });
  });
}
