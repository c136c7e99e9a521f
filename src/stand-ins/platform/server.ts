import type { AddressInfo } from 'node:net';
import fastify from 'fastify';
import type { TimerService } from '../../core/timers/index.ts';
import type { Vm } from '../../core/domain-types/index.ts';
import { addControlRoutes, isControlPath } from './control-routes.ts';
import { createCounters, createFaults } from './faults.ts';
import type { PlatformContext } from './object-routes.ts';
import { addReadRoutes, addWriteRoutes, closeWithoutResponse } from './object-routes.ts';
import { createObjectStore } from './object-store.ts';
import { createVmList } from './vm-list.ts';

/** Maximum size of an object value, in bytes of JSON. */
const MAX_VALUE_BYTES = 1_000_000;
/** Bytes allowed in a body for the base version and the write id, in addition to the value. */
const MAX_ENVELOPE_BYTES = 1_024;

/** Options of a platform stand-in. */
export interface StandInPlatformOptions {
  address: string;
  /** 0 selects a free port. */
  port: number;
  timers: TimerService;
  vms?: readonly Vm[];
}

/** A running platform stand-in; tests in the same process can access its state directly. */
export interface StandInPlatform extends Pick<
  PlatformContext,
  'store' | 'vms' | 'faults' | 'counters'
> {
  address: string;
  port: number;
  close(): Promise<void>;
}

/** Starts an in-memory server that simulates the platform's object API and VM list. */
export async function createStandInPlatform(
  options: StandInPlatformOptions,
): Promise<StandInPlatform> {
  const { timers } = options;
  const timerCancellations: (() => void)[] = [];
  const context: PlatformContext = {
    store: createObjectStore(),
    vms: createVmList(options.vms ?? [], timers),
    faults: createFaults(),
    counters: createCounters(),
    timers: {
      waitFor: timers.waitFor,
      scheduleOnce(delayMs, listener) {
        const cancel = timers.scheduleOnce(delayMs, listener);
        timerCancellations.push(cancel);
        return cancel;
      },
    },
  };
  const server = fastify({
    bodyLimit: MAX_VALUE_BYTES + MAX_ENVELOPE_BYTES,
    forceCloseConnections: true,
  });
  server.addHook('onRequest', async (request, reply) => {
    if (isControlPath(request.url)) return;
    if (context.faults.delayMs > 0) await timers.waitFor(context.faults.delayMs);
    if (context.faults.down) closeWithoutResponse(context.counters, reply);
  });
  addReadRoutes(server, context);
  addWriteRoutes(server, context);
  addControlRoutes(server, context);
  await server.listen({ host: options.address, port: options.port });
  const { port } = server.server.address() as AddressInfo;
  const { store, vms, faults, counters } = context;
  const close = async (): Promise<void> => {
    // Pending timers of late writes would keep the process alive.
    timerCancellations.forEach((cancel) => cancel());
    await server.close();
  };
  return { store, vms, faults, counters, address: options.address, port, close };
}
