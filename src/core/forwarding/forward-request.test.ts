import { describe, it } from 'node:test';
import { expect } from 'earl';
import { RequestKind } from '../serving/index.ts';
import { createMemoryBudget } from '../memory/index.ts';
import type { PromptGuard } from '../quarantine/index.ts';
import type { ReceivedSend, ForwardingHarness } from './fixtures/forwarding-harness.ts';
import {
  RESPONSE_HEAD,
  REFUSAL_HEAD,
  startTestForwarding,
  STREAM_HEAD,
} from './fixtures/forwarding-harness.ts';
import { MAX_EVENT_BYTES } from './event-parser.ts';
import { SendFailure } from './target-client.ts';
import { FailureReason, Outcome } from './types.ts';

/** Memory for the responses of one test. */
const MEMORY_BYTES = 1_000;

function getSend(harness: ForwardingHarness, index: number): ReceivedSend {
  const send = harness.sends[index];
  if (send === undefined) throw new Error(`send ${index} was not made`);
  return send;
}

function acceptSend(harness: ForwardingHarness, index: number): ReceivedSend {
  const send = getSend(harness, index);
  send.listener.handleSent();
  return send;
}

function refuse({ listener }: ReceivedSend): void {
  listener.handleHead(REFUSAL_HEAD);
  listener.handleEnd(true);
}

const buildEvent = (id: number): Buffer => Buffer.from(`id: ${id}\ndata: piece ${id}\n\n`);

describe('forwarding of complete responses', () => {
  it('forwards a signed response unchanged', () => {
    const harness = startTestForwarding({ kind: RequestKind.NonIdempotent });
    const { listener } = acceptSend(harness, 0);
    listener.handleHead(RESPONSE_HEAD);
    listener.handleData(Buffer.from('whole'));
    listener.handleEnd(true);
    expect(harness.caller).toEqual({ status: 200, body: 'whole', isEnded: true, isAborted: false });
  });

  // Guards against answers that a gateway without memory holds whole, or gives up (FAULT, LOST).
  const ends = [
    {
      name: 'whole if the target completes it',
      end: ({ listener }: ReceivedSend) => listener.handleEnd(true),
      caller: { status: 200, body: 'first second', isEnded: true, isAborted: false },
      outcome: Outcome.Answered,
    },
    {
      name: 'visibly broken if the target fails',
      end: ({ listener }: ReceivedSend) => listener.handleError(SendFailure.Sent, 'reset'),
      caller: { status: 200, body: 'first second', isEnded: false, isAborted: true },
      outcome: Outcome.BrokenOff,
    },
  ];
  for (const { name, end, caller, outcome } of ends) {
    it(`passes a response on as it arrives when memory is short, ${name}`, () => {
      const budget = createMemoryBudget(MEMORY_BYTES);
      const account = budget.openAccount(0)!;
      const harness = startTestForwarding({ kind: RequestKind.Idempotent, account });
      const send = acceptSend(harness, 0);
      send.listener.handleHead(RESPONSE_HEAD);
      send.listener.handleData(Buffer.from('first '));
      expect(budget.getHeldBytes()).toEqual('first '.length);
      budget.openAccount(MEMORY_BYTES - budget.getHeldBytes());
      send.listener.handleData(Buffer.from('second'));
      expect(harness.caller.body).toEqual('first second');
      expect(budget.getHeldBytes()).toEqual(MEMORY_BYTES - 'first '.length);
      end(send);
      expect(harness.caller).toEqual(caller);
      expect(harness.getResult()?.outcome).toEqual(outcome);
      expect(harness.sends.length).toEqual(1);
    });
  }

  // Guards against pieces of two answers that are joined (ORDER).
  it('sends no request of a stream again whose answer without events was passed on in part', () => {
    const budget = createMemoryBudget(MEMORY_BYTES);
    const account = budget.openAccount(0)!;
    const harness = startTestForwarding({ kind: RequestKind.Streaming, account });
    const { listener } = acceptSend(harness, 0);
    listener.handleHead(RESPONSE_HEAD);
    budget.openAccount(MEMORY_BYTES);
    listener.handleData(Buffer.from('first'));
    listener.handleError(SendFailure.Sent, 'reset');
    expect(harness.sends.length).toEqual(1);
    expect(harness.caller.isAborted).toEqual(true);
  });

  // Guards against an answer without events that is joined to the events of another target (ORDER).
  it('passes no answer without events on after the events of another target', () => {
    const budget = createMemoryBudget(MEMORY_BYTES);
    const account = budget.openAccount(0)!;
    const harness = startTestForwarding({ kind: RequestKind.Streaming, account });
    const first = acceptSend(harness, 0);
    first.listener.handleHead(STREAM_HEAD);
    first.listener.handleData(buildEvent(1));
    first.listener.handleError(SendFailure.Sent, 'reset');
    const second = acceptSend(harness, 1);
    budget.openAccount(MEMORY_BYTES);
    second.listener.handleHead({ ...RESPONSE_HEAD, status: 400 });
    second.listener.handleData(Buffer.from('bad'));
    second.listener.handleEnd(true);
    expect(harness.caller.body).toEqual(buildEvent(1).toString());
    expect(harness.caller.isEnded).toEqual(false);
  });

  it('holds nothing of a failure that another target may still turn into an answer', () => {
    const budget = createMemoryBudget(MEMORY_BYTES);
    const account = budget.openAccount(0)!;
    const harness = startTestForwarding({ kind: RequestKind.Idempotent, account });
    const { listener } = acceptSend(harness, 0);
    listener.handleHead({ ...RESPONSE_HEAD, status: 500 });
    listener.handleData(Buffer.from('failed'));
    expect(budget.getHeldBytes()).toEqual(0);
    listener.handleEnd(true);
    expect(harness.sends.length).toEqual(2);
  });

  // Guards against a request that runs twice (rule TWICE), and against reporting that a request has
  // not run although it may have (rule REFUSED).
  const lostResponses = [
    { kind: RequestKind.NonIdempotent, isResumable: false, sends: 1, status: 502 },
    { kind: RequestKind.Streaming, isResumable: false, sends: 1, status: 502 },
    { kind: RequestKind.Idempotent, isResumable: false, sends: 2, status: undefined },
    { kind: RequestKind.Streaming, isResumable: true, sends: 2, status: undefined },
  ];
  for (const { kind, isResumable, sends, status } of lostResponses) {
    it(`makes ${sends} sends of a ${kind} request, resumable ${isResumable}, whose response is lost`, () => {
      const harness = startTestForwarding({ kind, isResumable });
      acceptSend(harness, 0).listener.handleError(SendFailure.Sent, 'reset');
      expect(harness.sends.length).toEqual(sends);
      expect(harness.caller.status).toEqual(status);
    });
  }

  // Guards against an order that runs twice, and against a promise to its caller that it has not run,
  // because its target failed it with the status of a refusal (TWICE, REFUSED).
  const unproven = [
    { status: 503, isSigned: false },
    { status: 503, isSigned: true },
    { status: 429, isSigned: false },
    { status: 429, isSigned: true },
    { status: 408, isSigned: false },
    { status: 408, isSigned: true },
  ];
  const unprovenKinds = [
    { kind: RequestKind.NonIdempotent, isResumable: false, sends: 1 },
    { kind: RequestKind.Streaming, isResumable: false, sends: 1 },
    { kind: RequestKind.Streaming, isResumable: true, sends: 2 },
    { kind: RequestKind.Idempotent, isResumable: false, sends: 2 },
  ];
  for (const { status, isSigned } of unproven) {
    for (const { kind, isResumable, sends } of unprovenKinds) {
      it(`takes ${status}, signed ${isSigned}, without the mark "not run" for a failure that may have run a ${kind} request, resumable ${isResumable}`, () => {
        const harness = startTestForwarding({ kind, isResumable, maxAttempts: 2 });
        for (let index = 0; index < sends; index++) {
          const { listener } = acceptSend(harness, index);
          listener.handleHead({ ...RESPONSE_HEAD, status, isSigned });
          listener.handleData(Buffer.from('failed'));
          listener.handleEnd(true);
        }
        expect(harness.sends.length).toEqual(sends);
        expect(harness.caller).toEqual({ status: 502, body: '', isEnded: true, isAborted: false });
      });
    }
  }

  it('sends a non-idempotent request again after a refusal or a failed connection', () => {
    const harness = startTestForwarding({ kind: RequestKind.NonIdempotent, maxAttempts: 1 });
    refuse(acceptSend(harness, 0));
    getSend(harness, 1).listener.handleError(SendFailure.NotSent, 'refused');
    const { listener } = acceptSend(harness, 2);
    listener.handleHead(RESPONSE_HEAD);
    listener.handleEnd(true);
    expect(harness.caller.status).toEqual(200);
  });

  it('answers 503 if every target refused, because the request has not run', async () => {
    const harness = startTestForwarding({ kind: RequestKind.NonIdempotent, targetCount: 2 });
    refuse(acceptSend(harness, 0));
    refuse(acceptSend(harness, 1));
    await harness.timers.runForAsync(200);
    expect(harness.caller.status).toEqual(503);
    expect(harness.getResult()?.outcome).toEqual(Outcome.NotRun);
  });

  it('answers 504 at the time limit if the request may have run', async () => {
    const harness = startTestForwarding({ kind: RequestKind.NonIdempotent });
    acceptSend(harness, 0);
    await harness.timers.runForAsync(6_050, 50);
    expect(harness.caller.status).toEqual(504);
    expect(getSend(harness, 0).isCancelled).toEqual(true);
  });

  // Guards against responses to other requests and unsigned successes (rule MIXED).
  const invalidHeads = [
    { name: 'without a signature', head: { ...RESPONSE_HEAD, isSigned: false } },
    { name: 'of another request', head: { ...RESPONSE_HEAD, callerAttemptId: 'other' } },
    { name: 'with an encoding', head: { ...RESPONSE_HEAD, isEncoded: true } },
  ];
  for (const { name, head } of invalidHeads) {
    it(`never forwards a success ${name}`, () => {
      const harness = startTestForwarding({ kind: RequestKind.NonIdempotent });
      const { listener } = acceptSend(harness, 0);
      listener.handleHead(head);
      listener.handleData(Buffer.from('spoiled'));
      listener.handleEnd(true);
      expect(harness.caller.status).toEqual(502);
      expect(harness.caller.body).toEqual('');
    });
  }

  // Guards against bytes that are no answer, passed on to a caller as one (MIXED).
  for (const status of [0, 99, 600, 999]) {
    for (const { kind, isResumable, sends } of unprovenKinds) {
      it(`never forwards status ${status} of a ${kind} request, resumable ${isResumable}, at any attempt`, () => {
        const harness = startTestForwarding({ kind, isResumable, maxAttempts: 2 });
        for (let index = 0; index < sends; index++) {
          const { listener } = acceptSend(harness, index);
          listener.handleHead({ ...RESPONSE_HEAD, status });
          listener.handleData(Buffer.from('spoiled'));
          listener.handleEnd(true);
        }
        expect(harness.sends.length).toEqual(sends);
        expect(harness.caller).toEqual({ status: 502, body: '', isEnded: true, isAborted: false });
        expect(harness.getResult()?.lastFailure).toEqual('spoiled');
      });
    }

    it(`never joins an answer of status ${status} to the events of a stream that it resumes`, () => {
      const harness = startTestForwarding({ kind: RequestKind.Streaming });
      const first = acceptSend(harness, 0);
      first.listener.handleHead(STREAM_HEAD);
      first.listener.handleData(buildEvent(1));
      first.listener.handleError(SendFailure.Sent, 'reset');
      const second = acceptSend(harness, 1);
      second.listener.handleHead({ ...STREAM_HEAD, status });
      second.listener.handleData(buildEvent(2));
      second.listener.handleEnd(true);
      expect(harness.caller.body).toEqual(buildEvent(1).toString());
      expect(harness.caller.isAborted).toEqual(true);
    });
  }

  it('waits for the final answer behind interim ones', () => {
    const harness = startTestForwarding({ kind: RequestKind.NonIdempotent });
    const { listener } = acceptSend(harness, 0);
    [100, 102, 103, 199].forEach((status) => listener.handleHead({ ...RESPONSE_HEAD, status }));
    expect(harness.caller.status).toEqual(undefined);
    listener.handleHead(RESPONSE_HEAD);
    listener.handleData(Buffer.from('whole'));
    listener.handleEnd(true);
    expect(harness.caller.body).toEqual('whole');
  });

  // Guards against taking a target that trickles for one that answers, and against repeating a large
  // response that advances.
  const trickles = [
    { name: 'a byte now and then', part: Buffer.from('x'), sends: 2 },
    { name: 'a large response', part: Buffer.alloc(2_048), sends: 1 },
  ];
  for (const { name, part, sends } of trickles) {
    it(`makes ${sends} sends of an idempotent request whose target sends ${name}`, async () => {
      const harness = startTestForwarding({ kind: RequestKind.Idempotent });
      const { listener } = acceptSend(harness, 0);
      listener.handleHead(RESPONSE_HEAD);
      for (let count = 0; count < 10 && harness.sends.length === 1; count++) {
        listener.handleData(part);
        await harness.timers.runForAsync(100, 10);
      }
      expect(harness.sends.length).toEqual(sends);
    });
  }

  // Guards against taking a healthy target for dead because of what a caller sent.
  it('rejects a request that cannot be sent, and suspects no target', () => {
    const harness = startTestForwarding({ kind: RequestKind.NonIdempotent });
    getSend(harness, 0).listener.handleError(SendFailure.Unsendable, 'invalid header value');
    expect(harness.caller.status).toEqual(400);
    expect(harness.sends.length).toEqual(1);
    expect(harness.listSuspects()).toEqual([]);
  });

  it('makes no retry without budget', () => {
    const harness = startTestForwarding({ kind: RequestKind.Idempotent, slack: 0 });
    acceptSend(harness, 0).listener.handleError(SendFailure.Sent, 'reset');
    expect(harness.sends.length).toEqual(1);
    expect(harness.caller.status).toEqual(502);
  });

  it('cancels the send when the caller disconnects', () => {
    const harness = startTestForwarding({ kind: RequestKind.Idempotent });
    acceptSend(harness, 0);
    harness.forwardedRequest.abandon();
    expect(getSend(harness, 0).isCancelled).toEqual(true);
    expect(harness.getResult()?.outcome).toEqual(Outcome.Abandoned);
  });
});

describe('forwarding of streams', () => {
  const startStream = (): ForwardingHarness => {
    const harness = startTestForwarding({ kind: RequestKind.Streaming });
    const { listener } = acceptSend(harness, 0);
    listener.handleHead(STREAM_HEAD);
    listener.handleData(buildEvent(1));
    return harness;
  };

  const endSecondAttempt = (harness: ForwardingHarness, ids: number[]): void => {
    const { listener } = acceptSend(harness, 1);
    listener.handleHead(STREAM_HEAD);
    ids.forEach((id) => listener.handleData(buildEvent(id)));
    listener.handleEnd(true);
  };

  it('resumes after the last event when the connection to the target breaks', () => {
    const harness = startStream();
    getSend(harness, 0).listener.handleError(SendFailure.Sent, 'reset');
    expect(getSend(harness, 1).request.lastEventId).toEqual('1');
    endSecondAttempt(harness, [2, 3]);
    expect(harness.caller.body).toEqual([1, 2, 3].map((id) => buildEvent(id).toString()).join(''));
    expect(harness.caller.isEnded).toEqual(true);
  });

  // Guards against joining partial events of two runs (rule ORDER).
  it('drops an event that the target sent only in part', () => {
    const harness = startStream();
    const { listener } = getSend(harness, 0);
    listener.handleData(buildEvent(2).subarray(0, 9));
    listener.handleEnd(true);
    endSecondAttempt(harness, [2]);
    expect(harness.caller.body).toEqual(`${buildEvent(1).toString()}${buildEvent(2).toString()}`);
  });

  it('drops events that the caller has already received', () => {
    const harness = startStream();
    getSend(harness, 0).listener.handleError(SendFailure.Sent, 'reset');
    endSecondAttempt(harness, [1, 2]);
    expect(harness.caller.body).toEqual(`${buildEvent(1).toString()}${buildEvent(2).toString()}`);
  });

  it('moves a silent stream to another target', async () => {
    const harness = startStream();
    await harness.timers.runForAsync(400, 10);
    expect(getSend(harness, 0).isCancelled).toEqual(true);
    expect(harness.sends.length).toEqual(2);
  });

  // Guards against cutting sound streams of callers that read slowly.
  it('does not move a stream that it does not read because the caller reads slowly', async () => {
    const harness = startTestForwarding({ kind: RequestKind.Streaming, isCallerBlocked: true });
    const { listener } = acceptSend(harness, 0);
    listener.handleHead(STREAM_HEAD);
    listener.handleData(buildEvent(1));
    await harness.timers.runForAsync(1_900, 10);
    expect(harness.sends.length).toEqual(1);
  });

  // Guards against streams that never end because a byte now and then counts as progress.
  const bytesWithoutEvents = [
    { name: 'single bytes', part: Buffer.from('d'), periodMs: 100 },
    { name: 'comments', part: Buffer.from(': ping\n\n'), periodMs: 100 },
    {
      name: 'a line that does not end',
      part: Buffer.alloc(MAX_EVENT_BYTES / 2, 'x'),
      periodMs: 20,
    },
  ];
  for (const { name, part, periodMs } of bytesWithoutEvents) {
    it(`moves a stream whose target sends only ${name}`, async () => {
      const harness = startStream();
      for (let elapsedMs = 0; elapsedMs < 400; elapsedMs += periodMs) {
        if (harness.sends.length === 1) getSend(harness, 0).listener.handleData(part);
        await harness.timers.runForAsync(periodMs, 10);
      }
      expect(getSend(harness, 0).isCancelled).toEqual(true);
      expect(harness.sends.length).toEqual(2);
    });
  }

  // Guards against failing streams that a group could serve which opens a moment later.
  it('waits for another target when the only one failed before the first event', async () => {
    const harness = startTestForwarding({ kind: RequestKind.Streaming, targetCount: 1 });
    acceptSend(harness, 0).listener.handleError(SendFailure.Sent, 'reset');
    await harness.timers.runForAsync(500, 10);
    expect(harness.caller.status).toEqual(undefined);
    harness.fleet.setTarget({ ...getSend(harness, 0).request.target, id: 'added' });
    await harness.timers.runForAsync(50, 10);
    expect(harness.sends.length).toEqual(2);
  });

  // Guards against aborting streams because no retry budget is left (scale-2 of rodopi-wax).
  it('keeps waiting for a silent target when no retry budget is left', async () => {
    const harness = startTestForwarding({ kind: RequestKind.Streaming, slack: 0 });
    const { listener } = acceptSend(harness, 0);
    listener.handleHead(STREAM_HEAD);
    listener.handleData(buildEvent(1));
    await harness.timers.runForAsync(1_000, 10);
    listener.handleData(buildEvent(2));
    listener.handleEnd(true);
    expect(harness.caller.isEnded).toEqual(true);
    expect(harness.caller.isAborted).toEqual(false);
  });

  it('aborts the connection when no attempt is left, so that the response is visibly incomplete', () => {
    const harness = startTestForwarding({ kind: RequestKind.Streaming, maxAttempts: 1 });
    const { listener } = acceptSend(harness, 0);
    listener.handleHead(STREAM_HEAD);
    listener.handleData(buildEvent(1));
    listener.handleError(SendFailure.Sent, 'reset');
    expect(harness.caller.isAborted).toEqual(true);
    expect(harness.caller.isEnded).toEqual(false);
  });
});

describe('streams that end with their connection', () => {
  const ends = [
    { name: 'before the first event', parts: [], isFramed: false, sends: 2 },
    { name: 'inside an event', parts: [buildEvent(1).subarray(0, 8)], isFramed: false, sends: 2 },
    { name: 'after an event', parts: [buildEvent(1)], isFramed: false, sends: 1 },
    { name: 'without an event, but with framing', parts: [], isFramed: true, sends: 1 },
  ];
  for (const { name, parts, isFramed, sends } of ends) {
    // Guards against passing on the end of a crashed target as a complete stream (rule MIXED).
    it(`makes ${sends} sends of one that ends ${name}`, () => {
      const harness = startTestForwarding({ kind: RequestKind.Streaming });
      const { listener } = acceptSend(harness, 0);
      listener.handleHead(STREAM_HEAD);
      parts.forEach((part) => listener.handleData(part));
      listener.handleEnd(isFramed);
      expect(harness.sends.length).toEqual(sends);
      expect(harness.caller.isEnded).toEqual(sends === 1);
    });
  }
});

/** Starts forwarding a stream whose prompt a test puts into quarantine. */
function startWithQuarantine(isQuarantined: boolean) {
  const state = { isQuarantined, lost: [] as boolean[], begun: 0, ended: 0, refuse: () => {} };
  const guard: PromptGuard = {
    admit: () => !state.isQuarantined,
    getRetryAfterMs: () => 30_000,
    recordBegun: () => {
      state.begun++;
    },
    recordLost: (_target, hasBegun) => state.lost.push(hasBegun),
    end: () => {
      state.ended++;
    },
  };
  const harness = startTestForwarding({
    kind: RequestKind.Streaming,
    sharedPartIds: ['a1'],
    quarantine: {
      startRequest: (_request, refuseWaiting) => {
        state.refuse = refuseWaiting;
        return guard;
      },
    },
  });
  return { harness, state };
}

describe('forwarding of prompts that crash targets', () => {
  it('refuses a quarantined prompt at once, without a send', () => {
    const { harness, state } = startWithQuarantine(true);
    expect(harness.sends.length).toEqual(0);
    expect(harness.caller.status).toEqual(503);
    expect(harness.getResult()?.reason).toEqual(FailureReason.Quarantined);
    expect(state.ended).toEqual(1);
  });

  // Guards against a request that crashes a second target after the first one, and against reporting
  // that it has not run.
  it('does not retry a request whose prompt was quarantined after it crashed its target', () => {
    const { harness, state } = startWithQuarantine(false);
    const { listener } = acceptSend(harness, 0);
    state.isQuarantined = true;
    listener.handleError(SendFailure.Sent, 'other side closed');
    expect(harness.sends.length).toEqual(1);
    expect(harness.caller.status).toEqual(502);
    expect(state).toLooseEqual({ ...state, lost: [false], ended: 1 });
  });

  it('cancels a request that waits at a target when its prompt is quarantined', () => {
    const { harness, state } = startWithQuarantine(false);
    const send = acceptSend(harness, 0);
    state.refuse();
    expect(send.isCancelled).toEqual(true);
    expect(harness.caller.status).toEqual(502);
  });

  // Guards against parts that are suspected although answers begin with them.
  it('records that an answer has begun, and a loss after it', () => {
    const { harness, state } = startWithQuarantine(false);
    const { listener } = acceptSend(harness, 0);
    listener.handleHead(STREAM_HEAD);
    listener.handleData(buildEvent(1));
    listener.handleError(SendFailure.Sent, 'other side closed');
    expect(state.begun > 0).toEqual(true);
    expect(state.lost).toEqual([true]);
  });
});

describe('forwarding without connections', () => {
  // Guards against a target that all gateways avoid because one gateway lacks descriptors.
  it('sends again after a send that found no descriptor, and suspects no target', async () => {
    let isFree = true;
    const harness = startTestForwarding({
      kind: RequestKind.NonIdempotent,
      targetCount: 1,
      hasFreeConnection: () => isFree,
    });
    isFree = false;
    getSend(harness, 0).listener.handleError(SendFailure.NoResources, 'EMFILE');
    expect(harness.listSuspects()).toEqual([]);
    isFree = true;
    await harness.timers.runForAsync(20);
    const { listener } = acceptSend(harness, 1);
    listener.handleHead(RESPONSE_HEAD);
    listener.handleEnd(true);
    expect(harness.caller.status).toEqual(200);
    expect(harness.getResult()?.targetIds.length).toEqual(1);
  });

  it('refuses a request as not run with a time to retry if no connection becomes free', async () => {
    const harness = startTestForwarding({
      kind: RequestKind.NonIdempotent,
      hasFreeConnection: () => false,
    });
    await harness.timers.runForAsync(200);
    expect(harness.sends.length).toEqual(0);
    expect(harness.caller.status).toEqual(503);
    expect(harness.getResult()?.outcome).toEqual(Outcome.NotRun);
    expect(harness.getResult()?.reason).toEqual(FailureReason.NoConnection);
    expect(harness.listSuspects()).toEqual([]);
  });

  it('answers 502 if the request may have run and no connection becomes free for a retry', async () => {
    let isFree = true;
    const harness = startTestForwarding({
      kind: RequestKind.Idempotent,
      hasFreeConnection: () => isFree,
    });
    const send = acceptSend(harness, 0);
    isFree = false;
    send.listener.handleError(SendFailure.Sent, 'reset');
    await harness.timers.runForAsync(1_600);
    expect(harness.caller.status).toEqual(502);
    expect(harness.sends.length).toEqual(1);
  });
});
