import { randomUUID } from 'node:crypto';
import type { TimerService } from '../../core/timers/index.ts';
import { createControlServer, createFaultServer } from '../faults/index.ts';
import type { FaultListeners, FaultRequest, FaultServer } from '../faults/index.ts';
import { createBookingLog } from './booking-log.ts';
import type { BookingLog } from './booking-log.ts';
import { createServiceTarget } from './target.ts';
import type { ServiceTargetState } from './target.ts';
import { addServiceRoutes } from './routes.ts';
import type { ServiceSettings } from './settings.ts';

export type { Booking, BookingLog } from './booking-log.ts';
export { serviceSettingsSchema } from './settings.ts';
export type { ServiceSettings } from './settings.ts';

/** One target of the service and its HTTP server. */
export interface StandInServiceTarget {
  vm: string;
  address: string;
  /** Port from the settings; the bound port after `start`. */
  port: number;
  state: ServiceTargetState;
  applyFaults(faultRequest: FaultRequest): void;
}

/** Simulated service without models: its targets run in one process and share one booking log. */
export interface StandInService {
  bookings: BookingLog;
  targets: StandInServiceTarget[];
  start(): Promise<void>;
  stop(): Promise<void>;
}

interface RunnableTarget extends StandInServiceTarget {
  server: FaultServer;
}

/** Creates a simulated service that books orders and reads stock. */
export function createStandInService(
  settings: ServiceSettings,
  timers: TimerService,
  createId: () => string = randomUUID,
): StandInService {
  const { behaviour, control } = settings;
  const bookings = createBookingLog();
  const targets = settings.targets.map((target): RunnableTarget => {
    const listeners: FaultListeners = {};
    const { address, port, vm } = target;
    const server = createFaultServer({ address, port, timers, listeners });
    const state = createServiceTarget(behaviour, timers, createId);
    listeners.handleCold = state.setCold;
    listeners.handleRestart = state.reset;
    addServiceRoutes({ server, state, bookings, behaviour, timers, vm });
    return { ...target, state, server, applyFaults: server.applyFaults };
  });
  const controlServer =
    control === undefined ? undefined : createControlServer(control.address, control.port, targets);
  return {
    bookings,
    targets,
    async start() {
      for (const target of targets) target.port = await target.server.start();
      await controlServer?.start();
    },
    async stop() {
      await controlServer?.stop();
      for (const target of targets) await target.server.stop();
    },
  };
}
