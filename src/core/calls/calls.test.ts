import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ErrorKind } from '../errors/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { buildCall, createCluster, formatResult, ServiceFault } from './fixtures/create-cluster.ts';
import {
  applyCallEvent,
  CallAction,
  CallEventKind,
  CallState,
  createCallLedger,
  createRetryBudget,
  RequestIdStatus,
  MAX_STORED_ANSWER_BYTES,
  PREFIX_LIFETIME_MS,
} from './index.ts';
import type { CallEvent, CallRecord } from './index.ts';
import { buildDoneResult, buildNotRunResult, buildUnknownResult } from './results.ts';

const RESULT = buildNotRunResult('id', 'refused');

function buildEvent(kind: CallEventKind): CallEvent {
  const isPlain =
    kind === CallEventKind.Received ||
    kind === CallEventKind.SendStarted ||
    kind === CallEventKind.NotSent;
  return isPlain ? { kind } : { kind, result: RESULT };
}

/** Expected transitions. Pairs that are not listed must keep the state and return no action. */
const TRANSITIONS: Readonly<Record<string, string>> = {
  'new order': 'accepted run',
  'new lookup': 'closed reply',
  'accepted order': 'accepted wait',
  'accepted lookup': 'accepted reply-running',
  'accepted send-started': 'sending none',
  'accepted refused': 'closed reply',
  'sending order': 'sending wait',
  'sending lookup': 'sending reply-running',
  'sending not-sent': 'accepted none',
  'sending answered': 'done reply',
  'sending lost': 'unknown reply',
  'done order': 'done reply',
  'done lookup': 'done reply',
  'unknown order': 'unknown reply',
  'unknown lookup': 'unknown reply',
  'closed order': 'closed reply',
  'closed lookup': 'closed reply',
};

describe('applyCallEvent', () => {
  for (const state of ['new', ...Object.values(CallState)]) {
    for (const kind of Object.values(CallEventKind)) {
      const name = `${state} ${kind}`;
      const expected = TRANSITIONS[name] ?? `${state} ${CallAction.None}`;
      it(`${name} -> ${expected}`, () => {
        const record: CallRecord | undefined =
          state === 'new' ? undefined : { state: state as CallState };
        const next = applyCallEvent(record, buildEvent(kind));
        expect(`${next.record?.state ?? 'new'} ${next.action}`).toEqual(expected);
      });
    }
  }
});

const OPTIONS = { owner: 'entry-1', incarnation: 'a1' };

interface IdCase {
  title: string;
  id: string;
  expected: RequestIdStatus;
}

const idCases: IdCase[] = [
  {
    title: 'an id that this incarnation issued',
    id: 'entry-1.a1.600000.0.17',
    expected: RequestIdStatus.Own,
  },
  { title: 'an expired id', id: 'entry-1.a1.0.0.17', expected: RequestIdStatus.Expired },
  {
    title: 'an id of an earlier incarnation',
    id: 'entry-1.a0.600000.0.17',
    expected: RequestIdStatus.Foreign,
  },
  {
    title: 'an id of another daemon',
    id: 'entry-2.a1.600000.0.17',
    expected: RequestIdStatus.Foreign,
  },
  { title: 'a forged expiry', id: 'entry-1.a1.600001.0.17', expected: RequestIdStatus.Invalid },
  {
    title: 'an id without a number',
    id: 'entry-1.a1.600000.0.',
    expected: RequestIdStatus.Invalid,
  },
  { title: 'an id chosen by the caller', id: 'order-17', expected: RequestIdStatus.Invalid },
];

describe('createCallLedger', () => {
  for (const { title, id, expected } of idCases) {
    it(`recognises ${title}`, () => {
      const ledger = createCallLedger({ ...OPTIONS, timers: createManualTimers() });
      expect(ledger.checkId(id)).toEqual(expected);
    });
  }

  it('issues a different prefix to each caller', () => {
    const ledger = createCallLedger({ ...OPTIONS, timers: createManualTimers() });
    const prefixes = new Set([ledger.createPrefix(), ledger.createPrefix()]);
    expect(prefixes.size).toEqual(2);
  });

  it('stores response bodies up to the size limit and returns larger ones only once', async () => {
    const timers = createManualTimers();
    const ledger = createCallLedger({ ...OPTIONS, timers });
    for (const [index, bytes] of [MAX_STORED_ANSWER_BYTES, MAX_STORED_ANSWER_BYTES + 1].entries()) {
      const id = `${ledger.createPrefix()}${index}`;
      ledger.applyEvent(id, { kind: CallEventKind.Received });
      ledger.applyEvent(id, { kind: CallEventKind.SendStarted });
      const waiting = ledger.waitForResult(id);
      const answer = { status: 200, headers: [], body: new Uint8Array(bytes) };
      ledger.applyEvent(id, { kind: CallEventKind.Answered, result: buildDoneResult(id, answer) });
      expect((await waiting).body.byteLength).toEqual(bytes);
      const stored = ledger.applyEvent(id, { kind: CallEventKind.Received }).result;
      const isKept = bytes <= MAX_STORED_ANSWER_BYTES;
      expect([stored?.bodyDropped, stored?.body.byteLength]).toEqual([!isKept, isKept ? bytes : 0]);
    }
    expect(ledger.getStoredBytes()).toEqual(MAX_STORED_ANSWER_BYTES);
    timers.runFor(PREFIX_LIFETIME_MS + 20_000);
    expect([ledger.countRecords(), ledger.getStoredBytes()]).toEqual([0, 0]);
  });

  it('limits the total size of the stored response bodies', () => {
    const ledger = createCallLedger({ ...OPTIONS, timers: createManualTimers() });
    for (let index = 0; index < 400; index++) {
      const id = `${ledger.createPrefix()}${index}`;
      const body = new Uint8Array(MAX_STORED_ANSWER_BYTES);
      const result = buildDoneResult(id, { status: 200, headers: [], body });
      ledger.applyEvent(id, { kind: CallEventKind.Received });
      ledger.applyEvent(id, { kind: CallEventKind.SendStarted });
      ledger.applyEvent(id, { kind: CallEventKind.Answered, result });
    }
    expect(ledger.getStoredBytes()).toEqual(16 * 1_024 * 1_024);
    expect(ledger.countRecords()).toEqual(400);
  });

  // Guards against a running call whose record is removed because its prefix expired, and against
  // a record that is kept forever because the call ended after the expiry.
  it('keeps a running call past its expiry', () => {
    const timers = createManualTimers();
    const ledger = createCallLedger({ ...OPTIONS, timers });
    const id = `${ledger.createPrefix()}1`;
    ledger.applyEvent(id, { kind: CallEventKind.Received });
    ledger.applyEvent(id, { kind: CallEventKind.SendStarted });
    timers.runFor(PREFIX_LIFETIME_MS + 20_000);
    expect(ledger.countRecords()).toEqual(1);
    ledger.applyEvent(id, {
      kind: CallEventKind.ResponseLost,
      result: buildUnknownResult(id, 'lost'),
    });
    timers.runFor(20_000);
    expect(ledger.countRecords()).toEqual(0);
  });
});

describe('createCallRouter', () => {
  it('rejects an id that no daemon issued', async () => {
    const { router } = createCluster().getDaemon(0);
    const kind = ErrorKind.RequestIdNotIssued;
    await expect(router.runCall(buildCall('order-17'))).toBeRejectedWith(expect.subset({ kind }));
  });
});

interface RetryCase {
  title: string;
  faults: ServiceFault[];
  expected: string;
  runs: number;
}

const retryCases: RetryCase[] = [
  { title: 'returns the response of the service', faults: [], expected: 'done 201 run 1', runs: 1 },
  {
    title: 'tries another target after a refused connection',
    faults: [ServiceFault.Refused],
    expected: 'done 201 run 1',
    runs: 1,
  },
  {
    title: 'tries another target after a lost response',
    faults: [ServiceFault.ResponseLost],
    expected: 'done 201 run 2',
    runs: 2,
  },
  {
    title: 'tries another target after a response with status 503',
    faults: [ServiceFault.Overloaded],
    expected: 'done 201 run 1',
    runs: 1,
  },
  {
    title: 'reports not-run when no byte was sent to any target',
    faults: [ServiceFault.Refused, ServiceFault.Refused],
    expected: 'not-run 503',
    runs: 0,
  },
  {
    title: 'reports unknown when the call was sent at least once',
    faults: [ServiceFault.CallLost, ServiceFault.Refused],
    expected: 'unknown 502',
    runs: 0,
  },
];

describe('createIdempotentCalls', () => {
  for (const { title, faults, expected, runs } of retryCases) {
    it(title, async () => {
      const cluster = createCluster();
      cluster.faults.push(...faults);
      let text = '';
      const call = buildCall('order-17');
      void cluster
        .getDaemon(0)
        .idempotentCalls.runCall(call)
        .then((result) => {
          text = formatResult(result);
        });
      await cluster.timers.runForAsync(20_000);
      expect([text, cluster.runs.length]).toEqual([expected, runs]);
    });
  }

  // Guards against retries that multiply the load on an overloaded service.
  it('retries at most a tenth of the calls once the saved retries are used', () => {
    const budget = createRetryBudget();
    let retries = 0;
    for (let call = 0; call < 1_000; call++) {
      budget.recordCall();
      if (budget.takeRetry()) retries++;
    }
    expect(retries >= 100 && retries <= 110).toEqual(true);
  });
});
