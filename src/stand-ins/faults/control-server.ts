import fastify from 'fastify';
import { faultRequestSchema } from './types.ts';
import type { FaultRequest } from './types.ts';

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;

/** Target that a control server can inject faults into. */
export interface FaultTarget {
  vm: string;
  applyFaults(faultRequest: FaultRequest): void;
}

/** HTTP server for fault injection; it stays up while the targets of its process are down. */
export interface ControlServer {
  /** Returns the bound port. */
  start(): Promise<number>;
  stop(): Promise<void>;
}

/** Creates a server whose `POST /faults` injects faults into the target on the VM in the body. */
export function createControlServer(
  address: string,
  port: number,
  targets: readonly FaultTarget[],
): ControlServer {
  const app = fastify({ forceCloseConnections: true });
  app.post('/faults', (request, reply) => {
    const faultRequest = faultRequestSchema.safeParse(request.body);
    if (!faultRequest.success) {
      return reply
        .status(HTTP_BAD_REQUEST)
        .send({ error: 'invalid', problem: faultRequest.error.message });
    }
    const target = targets.find((candidate) => candidate.vm === faultRequest.data.vm);
    if (target === undefined) {
      return reply.status(HTTP_NOT_FOUND).send({ error: 'unknown-vm', vm: faultRequest.data.vm });
    }
    target.applyFaults(faultRequest.data);
    return reply.send({ vm: target.vm });
  });
  return {
    async start() {
      await app.listen({ host: address, port });
      const bound = app.server.address();
      return bound !== null && typeof bound === 'object' ? bound.port : port;
    },
    async stop() {
      await app.close();
    },
  };
}
