import { setMaxListeners } from 'node:events';
import { Agent } from 'node:http';
import type { TimerService } from '../../core/timers/index.ts';
import { BulkHeader } from './bulk-targets.ts';
import type { SoakGateway } from './gateways.ts';
import type { PlannedPeerFault } from './plan-peer-faults.ts';
import { PeerFaultKind } from './plan-peer-faults.ts';
import type { InjectedFaults } from './schedule-faults.ts';
import { scheduleFaults } from './schedule-faults.ts';
import type { Pace, SlowCallers, SlowRequest } from './slow-callers.ts';

/** The planned loads and the parts of the system that they act on. */
export interface PeerFaultOptions {
  faults: readonly PlannedPeerFault[];
  timers: TimerService;
  gateways: readonly SoakGateway[];
  callers: SlowCallers;
  /** Sends a series of signals, unless another fault stops the gateway at the time. */
  sendSignals(gateway: SoakGateway, variant: number): Promise<void>;
}

/** One load while it lasts. */
interface Load {
  address: string;
  /** Share of the largest size of the load. */
  size: number;
  signal: AbortSignal;
}

const MIN_SIZE = 0.4;
const BULK_PATH = '/bulk/new';
const MAX_BODY_BYTES = 4_190_000;
const LARGE_ANSWER_BYTES = 4_000_000;
const SLOW_BYTES = 1_000_000;
const UNREAD_COUNT = 300;
const STREAM_COUNT = 200;
const SLOW_COUNT = 80;
const SMALL_COUNT = 10;
const STOPPED_COUNT = 3_000;
const STOPPED_PART = Buffer.alloc(100_000, 'o');
const SILENT_COUNT = 1_500;
const PIPELINE_COUNT = 20_000;
const SEND_PERIOD_MS = 100;
/** A transfer of 640 kB a second. */
const SLOW_PACE: Pace = { partBytes: 65_536, everyMs: 100 };
/** A target needs 7 s for a body of the largest size. */
const TARGET_BYTES_PER_SECOND = 600_000;
const PIPELINE_WORK_MS = 6_000;

function buildRequest(change: Partial<SlowRequest> = {}): SlowRequest {
  return { path: BULK_PATH, headers: {}, bodyBytes: 0, answerBytes: 800, ...change };
}

function buildAnswerRequest(answerBytes: number, form = 'length'): SlowRequest {
  return buildRequest({ answerBytes, headers: { [BulkHeader.AnswerForm]: form } });
}

/** Puts each planned load on its gateway at its time. */
export function injectPeerFaults(options: PeerFaultOptions): InjectedFaults {
  const { timers, callers } = options;
  const atOnce = { send: undefined, read: undefined };

  const hold = ({ address, signal }: Load, count: number, request: SlowRequest): Promise<void> =>
    callers.holdConnections(address, count, signal, () => [callers.buildHead(address, request)]);

  /** Lets each caller send one request after the other; a pause keeps refused ones from spinning. */
  const repeat = async (
    { address, signal }: Load,
    count: number,
    request: SlowRequest,
    pace: { send: Pace; read: Pace },
  ): Promise<void> => {
    const runCaller = async (): Promise<void> => {
      while (!signal.aborted) {
        await callers.sendRequest(address, request, pace, signal).catch(() => false);
        await timers.waitFor(SEND_PERIOD_MS, signal);
      }
    };
    await Promise.all(Array.from({ length: count }, runCaller));
  };

  /** Sends requests at a fixed rate, whatever becomes of the earlier ones. */
  const sendAtRate = async ({ address, signal }: Load, request: SlowRequest): Promise<void> => {
    const sent: Promise<unknown>[] = [];
    while (!signal.aborted) {
      sent.push(callers.sendRequest(address, request, atOnce, signal).catch(() => false));
      await timers.waitFor(SEND_PERIOD_MS, signal);
    }
    await Promise.all(sent);
  };

  const keepConnections = async (load: Load): Promise<void> => {
    const count = Math.ceil(SMALL_COUNT * load.size);
    const agents = Array.from({ length: count }, () => new Agent({ keepAlive: true }));
    await Promise.all(agents.map((agent) => repeat(load, 1, buildRequest({ agent }), atOnce)));
    agents.forEach((agent) => agent.destroy());
  };

  const holdSilent = async ({ address, size, signal }: Load): Promise<void> => {
    const count = Math.ceil((SILENT_COUNT * size) / 3);
    await Promise.all([
      callers.holdConnections(address, count, signal, () => []),
      callers.holdConnections(address, count, signal, () => {
        const head = callers.buildHead(address, buildRequest());
        return [head.slice(0, head.length / 2)];
      }),
      callers.holdConnections(address, count, signal, () => [
        callers.buildHead(address, buildRequest()),
      ]),
    ]);
  };

  const holdStopped = ({ address, size, signal }: Load): Promise<void> =>
    callers.holdConnections(address, STOPPED_COUNT * size, signal, () => [
      callers.buildHead(address, buildRequest({ bodyBytes: 2 * STOPPED_PART.length })),
      STOPPED_PART,
    ]);

  const runLoad = async (kind: PeerFaultKind, load: Load): Promise<void> => {
    const { size } = load;
    switch (kind) {
      case PeerFaultKind.UnreadAnswers:
        return hold(load, UNREAD_COUNT * size, buildAnswerRequest(LARGE_ANSWER_BYTES));
      case PeerFaultKind.UnreadStreams:
        return hold(
          load,
          STREAM_COUNT * size,
          buildRequest({ path: '/flood/new', answerBytes: LARGE_ANSWER_BYTES }),
        );
      case PeerFaultKind.SlowAnswers:
        return repeat(load, SLOW_COUNT * size, buildAnswerRequest(SLOW_BYTES, 'chunked'), {
          send: undefined,
          read: SLOW_PACE,
        });
      case PeerFaultKind.LargeAnswers:
        return repeat(load, SMALL_COUNT * size, buildAnswerRequest(LARGE_ANSWER_BYTES), atOnce);
      case PeerFaultKind.EndlessAnswers: {
        const headers = { [BulkHeader.AnswerForm]: 'endless' };
        const request = buildRequest({ answerBytes: undefined, headers });
        await Promise.all([
          repeat(load, SMALL_COUNT * size, request, atOnce),
          hold(load, SMALL_COUNT * size, request),
        ]);
        return undefined;
      }
      case PeerFaultKind.SlowBodies:
        return repeat(load, SLOW_COUNT * size, buildRequest({ bodyBytes: SLOW_BYTES }), {
          send: SLOW_PACE,
          read: undefined,
        });
      case PeerFaultKind.StoppedBodies:
        return holdStopped(load);
      case PeerFaultKind.LargeBodies:
        return sendAtRate(load, buildRequest({ bodyBytes: MAX_BODY_BYTES }));
      case PeerFaultKind.SlowTargets: {
        const headers = { [BulkHeader.ReadRate]: String(TARGET_BYTES_PER_SECOND) };
        return sendAtRate(load, buildRequest({ bodyBytes: MAX_BODY_BYTES, headers }));
      }
      case PeerFaultKind.Pipeline: {
        const headers = { [BulkHeader.WorkMs]: String(PIPELINE_WORK_MS) };
        const count = PIPELINE_COUNT * size;
        return callers.sendPipeline(load.address, count, load.signal, buildRequest({ headers }));
      }
      case PeerFaultKind.SilentConnections:
        return holdSilent(load);
      default:
        return keepConnections(load);
    }
  };

  const runFault = async ({ kind, forMs, selector, variant }: PlannedPeerFault): Promise<void> => {
    const gateway = options.gateways[Math.floor(selector * options.gateways.length)];
    if (gateway === undefined) return;
    if (kind === PeerFaultKind.SignalSeries) {
      await options.sendSignals(gateway, variant);
      return;
    }
    const controller = new AbortController();
    // Each connection of the load listens to it.
    setMaxListeners(0, controller.signal);
    timers.scheduleOnce(forMs, () => controller.abort());
    const size = MIN_SIZE + (1 - MIN_SIZE) * variant;
    await runLoad(kind, { address: gateway.callersAddress, size, signal: controller.signal });
  };

  return scheduleFaults(timers, options.faults, runFault);
}
