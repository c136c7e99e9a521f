import { z } from 'zod';
import type { TimerService } from '../../core/timers/index.ts';
import { createFaultServer } from '../faults/index.ts';
import type { FaultRequest } from '../faults/index.ts';
import type { WeightsSettings } from './settings.ts';

export { weightsSettingsSchema } from './settings.ts';
export type { WeightsSettings } from './settings.ts';

const HTTP_BAD_REQUEST = 400;
const HTTP_TOO_MANY_REQUESTS = 429;
const MS_PER_S = 1_000;

const loadSchema = z.strictObject({
  vm: z.string(),
  model: z.string(),
  modelVersion: z.string(),
});

/** One completed load and its size in bytes. */
export interface CompletedLoad {
  vm: string;
  model: string;
  modelVersion: string;
  bytes: number;
}

/** Simulated weight store: all loads share one transfer rate, in the order of their arrival. */
export interface StandInWeights {
  /** Port from the settings; the bound port after `start`. */
  port: number;
  listCompleted(): CompletedLoad[];
  /** Returns the number of loads refused with 429. */
  countRefused(): number;
  applyFaults(order: FaultRequest): void;
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** Creates a simulated weight store. */
export function createStandInWeights(
  settings: WeightsSettings,
  timers: TimerService,
): StandInWeights {
  const completed: CompletedLoad[] = [];
  const server = createFaultServer({ ...settings, timers });
  let waiting = 0;
  let refused = 0;
  /** Monotonic time at which all loads accepted so far will be complete. */
  let queueEndMs = 0;

  server.app.get('/status', () => ({ waiting, refused, completed }));

  server.app.post('/loads', async (request, reply) => {
    const load = loadSchema.safeParse(request.body);
    if (!load.success) {
      return reply.status(HTTP_BAD_REQUEST).send({ error: 'invalid', problem: load.error.message });
    }
    const nowMs = timers.getMonotonicMs();
    if (waiting > settings.waitingLoads) {
      refused++;
      const retryS = Math.max(1, Math.ceil((queueEndMs - nowMs) / MS_PER_S));
      return reply
        .status(HTTP_TOO_MANY_REQUESTS)
        .header('retry-after', retryS)
        .send({ error: 'busy' });
    }
    const bytes = settings.modelBytes[load.data.model] ?? settings.defaultBytes;
    queueEndMs = Math.max(queueEndMs, nowMs) + (bytes / settings.bytesPerSecond) * MS_PER_S;
    waiting++;
    await timers.waitFor(queueEndMs - nowMs);
    waiting--;
    completed.push({ ...load.data, bytes });
    return reply.send({ bytes });
  });

  const store: StandInWeights = {
    port: settings.port,
    listCompleted: () => [...completed],
    countRefused: () => refused,
    applyFaults: server.applyFaults,
    async start() {
      store.port = await server.start();
    },
    stop: server.stop,
  };
  return store;
}
