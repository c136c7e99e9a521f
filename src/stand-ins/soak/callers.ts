import { Client, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { TimerService } from '../../core/timers/index.ts';
import type { Ledger, SeenAnswer, SentRequest } from './ledger.ts';
import { AnswerEnd, RequestClass } from './ledger.ts';
import type { AnswerBody } from './test-targets.ts';

/** Options of the callers. */
export interface CallersOptions {
  timers: TimerService;
  ledger: Ledger;
  random(): number;
  /** `host:port` of the directories of all gateways. */
  directories: readonly string[];
  models: readonly string[];
  key: string;
  host: string;
  /** Number of concurrent callers, each with its own connections. */
  count: number;
  attemptPrefix: string;
}

/** Simulated callers, each of which sends one request at a time. */
export interface Callers {
  /** Stops sending requests, and resolves when those in progress have ended. */
  stop(): Promise<void>;
}

/** Time for which a caller uses the addresses from a directory before it asks again. */
const ADDRESSES_MS = 2_000;
const DIRECTORY_LIMIT_MS = 1_000;
const DEADLINE_MS = 6_000;
/** A caller aborts a stream after a gap of 2 s. */
const GAP_LIMIT_MS = 2_000;
const PAUSE_MS = 60;
const PATH_BY_CLASS: Readonly<Record<RequestClass, string>> = {
  [RequestClass.Stream]: '/stream/answer',
  [RequestClass.Order]: '/orders/new',
  [RequestClass.Read]: '/read/stock',
};
const CLASSES: readonly RequestClass[] = Object.values(RequestClass);
const EVENT = /^id: \d+\ndata: (?<json>.+)\n\n/;

/** Parses the complete events at the start of the text; `rest` is the incomplete remainder. */
function takeEvents(text: string): { bodies: AnswerBody[]; rest: string } {
  const bodies: AnswerBody[] = [];
  let rest = text;
  for (let match = EVENT.exec(rest); match !== null; match = EVENT.exec(rest)) {
    bodies.push(JSON.parse(match.groups?.json ?? '{}') as AnswerBody);
    rest = rest.slice(match[0].length);
  }
  return { bodies, rest };
}

function addEvents(answer: SeenAnswer, bodies: readonly AnswerBody[]): void {
  for (const { attemptId, number, last } of bodies) {
    if (answer.bodyAttemptId === undefined || attemptId !== answer.attemptId) {
      answer.bodyAttemptId = attemptId;
    }
    answer.eventNumbers.push(number ?? 0);
    answer.lastNumber ??= last;
  }
}

/** Starts the callers. */
export function startCallers(options: CallersOptions): Callers {
  const { timers, ledger, random, directories, models, key, host } = options;
  let isStopped = false;
  let attempts = 0;

  const pick = <Item>(items: readonly Item[]): Item | undefined =>
    items[Math.floor(random() * items.length)];

  const fetchAddresses = async (): Promise<string[]> => {
    const directory = pick(directories) ?? '';
    const signal = AbortSignal.timeout(DIRECTORY_LIMIT_MS);
    const query = 'name=soak.example&region=r&zone=a';
    const answer = await request(`http://${directory}/resolve?${query}`, { signal });
    const { addresses } = (await answer.body.json()) as { addresses?: string[] };
    return addresses ?? [];
  };

  const readAnswer = async (
    { attemptId, requestClass }: SentRequest,
    response: Dispatcher.ResponseData,
  ): Promise<SeenAnswer> => {
    const answer: SeenAnswer = {
      attemptId,
      status: response.statusCode,
      bodyAttemptId: undefined,
      eventNumbers: [],
      lastNumber: undefined,
      end: AnswerEnd.Complete,
      version: undefined,
      endedMs: 0,
    };
    let text = '';
    try {
      for await (const chunk of response.body) {
        text += String(chunk);
        if (requestClass !== RequestClass.Stream) continue;
        const { bodies, rest } = takeEvents(text);
        addEvents(answer, bodies);
        text = rest;
      }
    } catch (error) {
      const isOurs = error instanceof Error && error.name.includes('Timeout');
      answer.end = isOurs ? AnswerEnd.GivenUp : AnswerEnd.Broken;
    }
    if (requestClass !== RequestClass.Stream && answer.status < 300 && text !== '') {
      const body = JSON.parse(text) as AnswerBody;
      answer.bodyAttemptId = body.attemptId;
      if (requestClass === RequestClass.Read) answer.version = body.version;
    }
    return answer;
  };

  const sendRequest = async (client: Client, sent: SentRequest): Promise<boolean> => {
    const response = await client.request({
      method: 'POST',
      path: PATH_BY_CLASS[sent.requestClass],
      headers: {
        host,
        authorization: `Bearer ${key}`,
        'x-attempt-id': sent.attemptId,
        'x-deadline-ms': String(DEADLINE_MS),
        'x-model': pick(models) ?? '',
        'x-token-usage': '100,100',
      },
      body: 'two pallets',
    });
    const answer = await readAnswer(sent, response);
    ledger.answers.push({ ...answer, endedMs: timers.getMonotonicMs() });
    return answer.end === AnswerEnd.Complete && response.headers.connection !== 'close';
  };

  const runCaller = async (): Promise<void> => {
    const clients = new Map<string, Client>();
    let addresses: string[] = [];
    let resolvedMs = -Infinity;
    const dropClient = (address: string): void => {
      void clients.get(address)?.destroy();
      clients.delete(address);
    };
    while (!isStopped) {
      if (timers.getMonotonicMs() - resolvedMs > ADDRESSES_MS) {
        const answer = await fetchAddresses().catch(() => undefined);
        // If the directory does not respond, the previous addresses stay in use.
        addresses = answer ?? addresses;
        resolvedMs = timers.getMonotonicMs();
      }
      const address = pick(addresses);
      if (address !== undefined) {
        const client =
          clients.get(address) ??
          new Client(`http://${address}`, {
            headersTimeout: DEADLINE_MS,
            bodyTimeout: GAP_LIMIT_MS,
            connect: { timeout: 1_000 },
          });
        clients.set(address, client);
        const sent: SentRequest = {
          attemptId: `${options.attemptPrefix}-${attempts++}`,
          requestClass: pick(CLASSES) ?? RequestClass.Read,
          gateway: address,
          sentMs: timers.getMonotonicMs(),
        };
        ledger.requests.set(sent.attemptId, sent);
        const isKept = await sendRequest(client, sent).catch(() => false);
        if (!isKept) dropClient(address);
      }
      await timers.waitFor(PAUSE_MS * random());
    }
    [...clients.keys()].forEach(dropClient);
  };

  const callers = Array.from({ length: options.count }, runCaller);
  return {
    async stop() {
      isStopped = true;
      await Promise.all(callers);
    },
  };
}
