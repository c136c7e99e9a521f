import type { FastifyInstance } from 'fastify';
import { vmListSchema, vmSchema } from '../../core/object-api/index.ts';
import { faultsSchema } from './faults.ts';
import type { PlatformContext } from './object-routes.ts';

const HTTP_BAD_REQUEST = 400;
const HTTP_NOT_FOUND = 404;

/** Paths of the control routes for tests and demos; they work while the object API is down. */
export const CONTROL_PATHS: ReadonlySet<string> = new Set(['/faults', '/counters', '/vm-list']);

/** Whether a path belongs to the control routes and not to the simulated platform API. */
export function isControlPath(path: string): boolean {
  return CONTROL_PATHS.has(`/${path.split('?')[0]?.split('/')[1] ?? ''}`);
}

/** Adds the routes that set faults, change the VM list and return the counters. */
export function addControlRoutes(server: FastifyInstance, context: PlatformContext): void {
  const { faults, counters, vms } = context;
  server.get('/faults', async () => faults);
  server.post('/faults', async (request, reply) => {
    const body = faultsSchema.safeParse(request.body);
    if (!body.success) return reply.code(HTTP_BAD_REQUEST).send({ problem: body.error.message });
    return Object.assign(faults, body.data);
  });
  server.get('/counters', async () => counters);
  server.put('/vm-list', async (request, reply) => {
    const body = vmListSchema.safeParse(request.body);
    if (!body.success) return reply.code(HTTP_BAD_REQUEST).send({ problem: body.error.message });
    vms.setVms(body.data.vms);
    return { vms: vms.listVms(0) };
  });
  server.patch<{ Params: { name: string } }>('/vm-list/:name', async (request, reply) => {
    const body = vmSchema.partial().safeParse(request.body);
    if (!body.success) return reply.code(HTTP_BAD_REQUEST).send({ problem: body.error.message });
    if (vms.updateVm(request.params.name, body.data)) return { vms: vms.listVms(0) };
    return reply.code(HTTP_NOT_FOUND).send({ problem: 'no such VM' });
  });
  server.delete<{ Params: { name: string } }>('/vm-list/:name', async (request, reply) => {
    if (vms.removeVm(request.params.name)) return { vms: vms.listVms(0) };
    return reply.code(HTTP_NOT_FOUND).send({ problem: 'no such VM' });
  });
}
