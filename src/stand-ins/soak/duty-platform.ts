import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { z } from 'zod';
import type { TimerService } from '../../core/timers/index.ts';
import type { Observations } from './observations.ts';
import { readBody } from './soak-targets.ts';

/** Options of the calls of duties. */
export interface DutyPlatformOptions {
  host: string;
  timers: TimerService;
  observations: Pick<Observations, 'dutyCalls'>;
  /** Share of the calls that are refused with 429, or whose answers are lost. */
  failureShare: number;
  random(): number;
  /** Called with the holder of each accepted report, before it is answered. */
  handleReport(holder: string): void;
}

/** The part of the platform that accepts calls of duties. */
export interface DutyPlatform {
  address: string;
  close(): void;
}

const HTTP_OK = 200;
const HTTP_TOO_MANY_REQUESTS = 429;
const USAGE_SUBJECT = 'usage';

const reportSchema = z.object({ window: z.int(), counts: z.record(z.string(), z.int()) });

/** Starts a server that records the reports that it accepts. */
export async function startDutyPlatform(options: DutyPlatformOptions): Promise<DutyPlatform> {
  const { host, timers, observations, failureShare, random } = options;
  const server = createServer((request, response) => {
    void readBody(request).then((body) => {
      if (random() < failureShare / 2) {
        response.writeHead(HTTP_TOO_MANY_REQUESTS).end();
        return;
      }
      const holder = String(request.headers['x-duty-holder']);
      const { window, counts } = reportSchema.parse(JSON.parse(body));
      observations.dutyCalls.push({
        subject: USAGE_SUBJECT,
        holder,
        token: Number(request.headers['x-fencing-token']),
        window,
        counts,
        atMs: timers.getMonotonicMs(),
        wallMs: timers.getWallMs(),
      });
      options.handleReport(holder);
      if (random() < failureShare / 2) request.socket.destroy();
      else response.writeHead(HTTP_OK).end();
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
