import { Client, errors, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { TimerService } from '../../core/timers/index.ts';
import type { Observations, ObservedResponse, SentRequest } from './observations.ts';
import { ResponseEnd, RequestClass } from './observations.ts';
import { buildPromptParts } from './prompt-parts.ts';
import type { ResponseBody } from './soak-targets.ts';

/** Options of the callers. */
export interface CallersOptions {
  timers: TimerService;
  observations: Observations;
  random(): number;
  /** `host:port` of the directories of all gateways. */
  directoryAddresses: readonly string[];
  models: readonly string[];
  apiKey: string;
  host: string;
  /** Number of concurrent callers, each with its own connections. */
  count: number;
  attemptPrefix: string;
  /** Share of the streams whose prompt has a part that crashes engines. */
  deadlyShare: number;
}

/** Simulated callers, each of which sends one request at a time. */
export interface Callers {
  /** Stops sending requests, and resolves when those in progress have ended. */
  stop(): Promise<void>;
}

/** Time for which a caller uses the addresses from a directory before it asks again. */
const ADDRESS_TTL_MS = 2_000;
const DIRECTORY_TIMEOUT_MS = 1_000;
const DEADLINE_MS = 6_000;
/** A caller aborts a stream after a gap of 2 s. */
const MAX_EVENT_GAP_MS = 2_000;
const MAX_PAUSE_MS = 60;
const PATH_BY_CLASS: Readonly<Record<RequestClass, string>> = {
  [RequestClass.Stream]: '/stream/answer',
  [RequestClass.Order]: '/orders/new',
  [RequestClass.Read]: '/read/stock',
  [RequestClass.Bulk]: '/bulk/new',
};
const CLASSES: readonly RequestClass[] = [
  RequestClass.Stream,
  RequestClass.Order,
  RequestClass.Read,
];
const EVENT_PATTERN = /^id: \d+\ndata: (?<json>.+)\n\n/;

/** Parses the complete events at the start of the text; `rest` is the incomplete remainder. */
function parseEvents(text: string): { bodies: ResponseBody[]; rest: string } {
  const bodies: ResponseBody[] = [];
  let rest = text;
  for (let match = EVENT_PATTERN.exec(rest); match !== null; match = EVENT_PATTERN.exec(rest)) {
    bodies.push(JSON.parse(match.groups?.json ?? '{}') as ResponseBody);
    rest = rest.slice(match[0].length);
  }
  return { bodies, rest };
}

function addEvents(observed: ObservedResponse, bodies: readonly ResponseBody[]): void {
  for (const { attemptId, number, last } of bodies) {
    if (observed.bodyAttemptId === undefined || attemptId !== observed.attemptId) {
      observed.bodyAttemptId = attemptId;
    }
    observed.eventNumbers.push(number ?? 0);
    observed.lastEventNumber ??= last;
  }
}

/** Starts the callers. */
export function startCallers(options: CallersOptions): Callers {
  const { timers, observations, random, directoryAddresses, models, apiKey, host } = options;
  let isStopped = false;
  let attempts = 0;

  const pickRandom = <Item>(items: readonly Item[]): Item | undefined =>
    items[Math.floor(random() * items.length)];

  const fetchAddresses = async (): Promise<string[]> => {
    const directory = pickRandom(directoryAddresses) ?? '';
    const signal = AbortSignal.timeout(DIRECTORY_TIMEOUT_MS);
    const query = 'name=soak.example&region=r&zone=a';
    const response = await request(`http://${directory}/resolve?${query}`, { signal });
    const { addresses } = (await response.body.json()) as { addresses?: string[] };
    return addresses ?? [];
  };

  const readResponse = async (
    { attemptId, requestClass }: SentRequest,
    response: Dispatcher.ResponseData,
  ): Promise<ObservedResponse> => {
    const observed: ObservedResponse = {
      attemptId,
      status: response.statusCode,
      bodyAttemptId: undefined,
      eventNumbers: [],
      lastEventNumber: undefined,
      end: ResponseEnd.Complete,
      version: undefined,
      endedMs: 0,
    };
    let text = '';
    try {
      for await (const chunk of response.body) {
        text += String(chunk);
        if (requestClass !== RequestClass.Stream) continue;
        const { bodies, rest } = parseEvents(text);
        addEvents(observed, bodies);
        text = rest;
      }
    } catch (error) {
      const isClientTimeout = error instanceof Error && error.name.includes('Timeout');
      observed.end = isClientTimeout ? ResponseEnd.GivenUp : ResponseEnd.Broken;
    }
    if (requestClass !== RequestClass.Stream && observed.status < 300 && text !== '') {
      const body = JSON.parse(text) as ResponseBody;
      observed.bodyAttemptId = body.attemptId;
      if (requestClass === RequestClass.Read) observed.version = body.version;
    }
    return observed;
  };

  const sendRequest = async (client: Client, sent: SentRequest): Promise<boolean> => {
    const response = await client.request({
      method: 'POST',
      path: PATH_BY_CLASS[sent.requestClass],
      headers: {
        host,
        authorization: `Bearer ${apiKey}`,
        'x-attempt-id': sent.attemptId,
        'x-deadline-ms': String(DEADLINE_MS),
        'x-model': pickRandom(models) ?? '',
        'x-token-usage': '100,100',
        ...buildPromptParts(sent, options.deadlyShare, random),
      },
      body: 'two pallets',
    });
    const observed = await readResponse(sent, response);
    observations.responses.push({ ...observed, endedMs: timers.getMonotonicMs() });
    return observed.end === ResponseEnd.Complete && response.headers.connection !== 'close';
  };

  /** Draws no random number without deadly requests, so that seeds keep their requests. */
  const isDeadly = (requestClass: RequestClass): boolean =>
    requestClass === RequestClass.Stream &&
    options.deadlyShare > 0 &&
    random() < options.deadlyShare;

  const runCaller = async (): Promise<void> => {
    const clients = new Map<string, Client>();
    let addresses: string[] = [];
    let resolvedAtMs = -Infinity;
    const closeClient = (address: string): void => {
      void clients.get(address)?.destroy();
      clients.delete(address);
    };
    while (!isStopped) {
      if (timers.getMonotonicMs() - resolvedAtMs > ADDRESS_TTL_MS) {
        const resolvedAddresses = await fetchAddresses().catch(() => undefined);
        // If the directory does not respond, the previous addresses stay in use.
        addresses = resolvedAddresses ?? addresses;
        resolvedAtMs = timers.getMonotonicMs();
      }
      const address = pickRandom(addresses);
      if (address !== undefined) {
        const client =
          clients.get(address) ??
          new Client(`http://${address}`, {
            headersTimeout: DEADLINE_MS,
            bodyTimeout: MAX_EVENT_GAP_MS,
            connect: { timeout: 1_000 },
          });
        clients.set(address, client);
        const requestClass = pickRandom(CLASSES) ?? RequestClass.Read;
        const sent: SentRequest = {
          attemptId: `${options.attemptPrefix}-${attempts++}`,
          requestClass,
          isDeadly: isDeadly(requestClass),
          gateway: address,
          sentMs: timers.getMonotonicMs(),
        };
        observations.requests.set(sent.attemptId, sent);
        const isReusable = await sendRequest(client, sent).catch((error: unknown) => {
          if (error instanceof errors.HeadersTimeoutError) {
            const waitedMs = timers.getMonotonicMs() - sent.sentMs;
            observations.hangingRequests.push({ attemptId: sent.attemptId, waitedMs });
          }
          return false;
        });
        if (!isReusable) closeClient(address);
      }
      await timers.waitFor(MAX_PAUSE_MS * random());
    }
    [...clients.keys()].forEach(closeClient);
  };

  const callers = Array.from({ length: options.count }, runCaller);
  return {
    async stop() {
      isStopped = true;
      await Promise.all(callers);
    },
  };
}
