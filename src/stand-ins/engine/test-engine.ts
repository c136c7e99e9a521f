import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { createTimerService } from '../../core/timers/index.ts';
import type { TimerService } from '../../core/timers/index.ts';
import { EnginePhase } from '../../core/domain-types/index.ts';
import type { EngineOrder, TargetStatus } from '../../core/domain-types/index.ts';
import { createStandInEngine, engineSettingsSchema } from './index.ts';
import type { EngineBehaviour, StandInEngine } from './index.ts';

const POLL_MS = 10;
const WAIT_TIMEOUT_MS = 5_000;
const MODEL = 'assist-7b';

/** Short times, so that tests take milliseconds. */
const TEST_BEHAVIOUR = {
  loadMs: 10,
  coldMs: 0,
  firstTokenMs: 1,
  tokenMs: 2,
  heartbeatMs: 20,
  loadLagMs: 10,
  memberReportMs: 10,
  memberDeadlineMs: 1_000,
};

/** The part of a completion that was read before the response ended or broke. */
export interface CompletionResult {
  statusCode: number;
  streamId: string;
  texts: string[];
  offsets: number[];
  total: number | undefined;
  /** Whether reading the response failed, as on a broken connection. */
  broken: boolean;
}

/** Engine members on free ports, and an HTTP client for them. */
export interface TestEngine {
  engine: StandInEngine;
  dispatcher: Dispatcher;
  timers: TimerService;
  getUrl(index: number, path: string): string;
  /** Orders all members into one group and waits until rank 0 is ready. */
  startGroup(epoch?: number, generation?: number): Promise<void>;
  sendOrder(index: number, order: Partial<EngineOrder>): Promise<number>;
  fetchStatus(index: number): Promise<TargetStatus>;
  requestCompletion(body: object, signal?: AbortSignal): Promise<CompletionResult>;
  resumeStream(streamId: string, offset: number): Promise<CompletionResult>;
  waitUntil(isDone: () => Promise<boolean> | boolean): Promise<void>;
  stop(): Promise<void>;
}

function parseEvents(text: string, completion: CompletionResult): void {
  text.split('\n\n').forEach((event) => {
    const data = /^data: (?<json>.*)$/m.exec(event)?.groups?.json;
    if (data === undefined) return;
    const value = JSON.parse(data) as { offset: number; text: string; total?: number };
    if (event.includes('event: end')) {
      completion.total = value.total;
      return;
    }
    completion.texts.push(value.text);
    completion.offsets.push(value.offset);
  });
}

async function readCompletion(response: Dispatcher.ResponseData): Promise<CompletionResult> {
  const completion: CompletionResult = {
    statusCode: response.statusCode,
    streamId: String(response.headers['x-stream-id'] ?? ''),
    texts: [],
    offsets: [],
    total: undefined,
    broken: false,
  };
  let text = '';
  try {
    for await (const chunk of response.body) text += String(chunk);
  } catch {
    completion.broken = true;
  }
  parseEvents(text, completion);
  return completion;
}

/** Starts engine members for a test. */
export async function startTestEngine(
  members = 1,
  behaviour: Partial<EngineBehaviour> = {},
  checksFencing = true,
): Promise<TestEngine> {
  const timers = createTimerService();
  const dispatcher = new Agent({ headersTimeout: WAIT_TIMEOUT_MS });
  const settings = engineSettingsSchema.parse({
    behaviour: { ...TEST_BEHAVIOUR, ...behaviour },
    members: Array.from({ length: members }, (_, index) => ({
      vm: `vm-${index}`,
      address: '127.0.0.1',
      port: 0,
      checksFencing,
    })),
  });
  const engine = createStandInEngine(settings, timers);
  await engine.start();

  const getUrl = (index: number, path: string): string =>
    `http://127.0.0.1:${engine.members[index]?.port}${path}`;

  const fetchStatus = async (index: number): Promise<TargetStatus> => {
    const response = await request(getUrl(index, '/status'), { dispatcher });
    return (await response.body.json()) as TargetStatus;
  };

  const waitUntil: TestEngine['waitUntil'] = async (isDone) => {
    const endMs = timers.getMonotonicMs() + WAIT_TIMEOUT_MS;
    while (!(await isDone())) {
      if (timers.getMonotonicMs() > endMs)
        throw new Error('timed out waiting for the expected state');
      await timers.waitFor(POLL_MS);
    }
  };

  const sendOrder: TestEngine['sendOrder'] = async (index, order) => {
    const body = {
      epoch: 1,
      group: 'assist-1',
      generation: 1,
      rank: index,
      size: members,
      leader: `127.0.0.1:${engine.members[0]?.port}`,
      members: engine.members.map(({ vm }) => vm),
      model: MODEL,
      modelVersion: '1',
      ...order,
    };
    const response = await request(getUrl(index, '/orders'), {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      dispatcher,
    });
    await response.body.dump();
    return response.statusCode;
  };

  return {
    engine,
    dispatcher,
    timers,
    getUrl,
    fetchStatus,
    waitUntil,
    sendOrder,
    async startGroup(epoch = 1, generation = 1) {
      for (let index = 0; index < members; index++) await sendOrder(index, { epoch, generation });
      await waitUntil(async () => (await fetchStatus(0)).phase === EnginePhase.Ready);
    },
    async requestCompletion(body, signal) {
      const response = await request(getUrl(0, '/v1/completions'), {
        method: 'POST',
        headers: { 'content-type': 'application/json', 'x-request-id': 'r-1' },
        body: JSON.stringify({ model: MODEL, ...body }),
        dispatcher,
        ...(signal === undefined ? {} : { signal }),
      });
      return readCompletion(response);
    },
    async resumeStream(streamId, offset) {
      const path = `/v1/streams/${streamId}?offset=${offset}`;
      // Uses a new connection: those of the pool may be under the `silent` fault.
      const connection = new Agent({ headersTimeout: WAIT_TIMEOUT_MS });
      const completion = await readCompletion(
        await request(getUrl(0, path), { dispatcher: connection }),
      );
      await connection.destroy();
      return completion;
    },
    async stop() {
      await dispatcher.destroy();
      await engine.stop();
    },
  };
}
