import { Client } from 'undici';
import type { DutyCalls, DutyHolder } from '../core/duties/index.ts';
import { DutyCallResult } from '../core/duties/index.ts';
import { createBoundedConnection } from '../core/http/bounded-connection.ts';
import type { TimerService } from '../core/timers/index.ts';
import { Header } from './headers.ts';
import type { SocketAddress } from './settings.ts';

/**
 * Timeout of a call, after which its connection is reset, so that it is not delivered later. It is
 * shorter than the time for which a new holder waits before its first call.
 */
const CALL_TIMEOUT_MS = 1_000;
/** Limit on one answer, which has no body of use. */
const MAX_ANSWER_BYTES = 64 * 1024;

const HTTP_SUCCESS_MIN = 200;
const HTTP_SUCCESS_MAX = 299;
const HTTP_CLIENT_ERROR = 400;
const HTTP_TOO_MANY_REQUESTS = 429;
const HTTP_SERVER_ERROR = 500;

/** Statuses of the 4xx range that tell nothing of the call itself. */
const HTTP_REQUEST_TIMEOUT = 408;

function toResult(status: number): DutyCallResult {
  if (status >= HTTP_SUCCESS_MIN && status <= HTTP_SUCCESS_MAX) return DutyCallResult.Accepted;
  if (status === HTTP_TOO_MANY_REQUESTS) return DutyCallResult.RateLimited;
  const isClientError = status >= HTTP_CLIENT_ERROR && status < HTTP_SERVER_ERROR;
  if (isClientError && status !== HTTP_REQUEST_TIMEOUT) return DutyCallResult.Rejected;
  return DutyCallResult.OutcomeUnknown;
}

/** Creates the client of the platform's calls of duties. Each call opens a separate connection. */
export function createDutyClient(
  address: SocketAddress,
  timers: Pick<TimerService, 'scheduleOnce'>,
): DutyCalls {
  const origin = `http://${address.host}:${address.port}`;
  const openClients = new Set<Client>();

  const sendCall = async (
    holder: DutyHolder,
    path: string,
    body: object,
  ): Promise<DutyCallResult> => {
    const connection = createBoundedConnection({
      maxAnswerBytes: MAX_ANSWER_BYTES,
      connectTimeoutMs: CALL_TIMEOUT_MS,
    });
    const client = new Client(origin, {
      connect: connection.connect,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    openClients.add(client);
    const cancelDeadline = timers.scheduleOnce(CALL_TIMEOUT_MS, () => {
      connection.abort();
      void client.destroy(new Error('no response in time'));
    });
    try {
      const response = await client.request({
        method: 'POST',
        path,
        headers: {
          'content-type': 'application/json',
          [Header.DutyHolder]: holder.vmName,
          [Header.FencingToken]: String(holder.token),
        },
        body: JSON.stringify(body),
        reset: true,
      });
      await response.body.dump();
      return toResult(response.statusCode);
    } catch {
      // Any failure may come after the call was done; the caller decides what follows.
      return DutyCallResult.OutcomeUnknown;
    } finally {
      cancelDeadline();
      openClients.delete(client);
      void client.destroy();
    }
  };

  return {
    reportUsage: (holder, { window, counts }) =>
      sendCall(holder, '/usage', { window, counts: Object.fromEntries(counts) }),
    orderTargetCount: (holder, { service, availabilityZone, targetCount }) =>
      sendCall(holder, '/scale', { service, zone: availabilityZone, desired_count: targetCount }),
    async close() {
      await Promise.all([...openClients].map((client) => client.destroy()));
    },
  };
}
