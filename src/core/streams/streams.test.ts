import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ErrorKind } from '../errors/index.ts';
import { applyAnswerEvent } from './answer-state.ts';
import type { AnswerEvent, AnswerState } from './answer-state.ts';
import {
  createBufferBudget,
  decodeResumeToken,
  encodeResumeToken,
  MAX_STREAM_BYTES,
} from './index.ts';
import { createTokenLog } from './token-log.ts';
import { buildFakeToken } from './fixtures/fake-engine.ts';
import { createFakeSink } from './fixtures/fake-sink.ts';
import { createSession } from './fixtures/create-session.ts';
import { catchError } from '../errors/fixtures/catch-error.ts';

const IDS = { request: 'r1', attempt: 'a1' };
const STATE: AnswerState = { ...IDS, nextOffset: 3 };

interface StateCase {
  title: string;
  state?: Partial<AnswerState>;
  event: AnswerEvent;
  expected: string;
}

const stateCases: StateCase[] = [
  {
    title: 'accepts the next token',
    event: { kind: 'token', token: { ...IDS, offset: 3, text: 'x' } },
    expected: 'accept, next 4',
  },
  {
    title: 'drops a token that has already arrived',
    event: { kind: 'token', token: { ...IDS, offset: 2, text: 'x' } },
    expected: 'drop, next 3',
  },
  {
    title: 'resumes on a gap',
    event: { kind: 'token', token: { ...IDS, offset: 4, text: 'x' } },
    expected: 'resume, next 3',
  },
  {
    title: 'drops a token of another request',
    event: { kind: 'token', token: { request: 'r2', attempt: 'a1', offset: 3, text: 'x' } },
    expected: 'drop, next 3',
  },
  {
    title: 'drops a token of another attempt',
    event: { kind: 'token', token: { request: 'r1', attempt: 'a0', offset: 3, text: 'x' } },
    expected: 'drop, next 3',
  },
  {
    title: 'completes when all tokens of the total have arrived',
    event: { kind: 'end', end: { ...IDS, total: 3 } },
    expected: 'complete, next 3, total 3',
  },
  {
    title: 'resumes when the end names tokens that did not arrive',
    event: { kind: 'end', end: { ...IDS, total: 5 } },
    expected: 'resume, next 3',
  },
  {
    title: 'rejects an end that names fewer tokens than arrived',
    event: { kind: 'end', end: { ...IDS, total: 2 } },
    expected: 'reject, next 3',
  },
  {
    title: 'drops the end of another attempt',
    event: { kind: 'end', end: { request: 'r1', attempt: 'a0', total: 3 } },
    expected: 'drop, next 3',
  },
  {
    title: 'drops everything after the end',
    state: { total: 3 },
    event: { kind: 'token', token: { ...IDS, offset: 3, text: 'x' } },
    expected: 'drop, next 3, total 3',
  },
];

describe('applyAnswerEvent', () => {
  for (const { title, state, event, expected } of stateCases) {
    it(title, () => {
      const result = applyAnswerEvent({ ...STATE, ...state }, event);
      const { nextOffset, total } = result.state;
      const totalText = total === undefined ? '' : `, total ${total}`;
      expect(`${result.action}, next ${nextOffset}${totalText}`).toEqual(expected);
    });
  }
});

describe('resume tokens', () => {
  it('round-trips all parts, including reserved characters', () => {
    const point = {
      vm: 'vm-1',
      group: 'assistant~0',
      generation: 7,
      streamId: 's/1 %',
      attempt: 'r~1:a1',
      firstOffset: 2,
      offset: 9,
    };
    expect(decodeResumeToken(encodeResumeToken(point))).toEqual(point);
  });

  for (const token of ['', 'x', 'a~b~c~s~t~1~2~3', 'vm~g~x~s~a~0~1', 'vm~g~1~%E0%A4~a~0~1']) {
    it(`refuses "${token}"`, () => {
      const kind = ErrorKind.ResumeTokenInvalid;
      expect(catchError(() => decodeResumeToken(token))).toEqual(expect.subset({ kind }));
    });
  }
});

describe('createBufferBudget', () => {
  // Guards against 1,000 slow callers that together exhaust the memory of a small VM.
  it('cancels streams of slow readers when the budget of the daemon is exceeded', async () => {
    const session = createSession({ answerTokens: 3_000, tokenMs: 1, maxBufferBytes: 20_000 });
    const answers = Array.from({ length: 10 }, (_, index) =>
      session.startAnswer(createFakeSink({ isSlow: true }), `r${index}`),
    );
    await session.timers.runForAsync(10_000);
    expect(session.budget.getBytes() < 20_100).toEqual(true);
    expect(session.engine.countRunning()).toEqual(0);
    for (let second = 0; second < 60; second++) {
      answers.forEach(({ sink }) => sink.readBytes(16_384));
      await session.timers.runForAsync(500);
    }
    expect(answers.map(({ sink }) => sink.getEnd())).toEqual(answers.map(() => 3_000));
    expect(session.budget.getBytes()).toEqual(0);
  });

  it('tells when paused streams may continue', () => {
    const budget = createBufferBudget(100);
    const read = (): boolean[] => [budget.isExceeded(), budget.canContinueStreams()];
    budget.add(101);
    expect(read()).toEqual([true, false]);
    budget.add(-20);
    expect(read()).toEqual([false, false]);
    budget.add(-6);
    expect(read()).toEqual([false, true]);
  });
});

describe('createAnswerStream', () => {
  it('sends a heartbeat every 5 s while there is no text', async () => {
    const session = createSession({ tokenMs: 60_000 });
    const { sink } = session.startAnswer();
    await session.timers.runForAsync(16_000);
    expect(sink.countHeartbeats()).toEqual(3);
  });

  it('reports a target that failed, but not one that only lost a stream', async () => {
    const session = createSession();
    session.startAnswer();
    await session.timers.runForAsync(550);
    session.engine.restartTarget('vm-1');
    await session.timers.runForAsync(550);
    session.engine.killTarget('vm-2');
    await session.timers.runForAsync(550);
    const failed = session.observations
      .filter((observation) => observation.failed === true)
      .map(({ vm }) => vm);
    expect(failed).toEqual(['vm-2']);
  });
});

describe('memory of a slow reader', () => {
  for (const answerTokens of [5_000, 15_000, 60_000]) {
    // Guards against delivered text, kept for a continuation, exceeding the limit of a slow reader.
    it(`stays within 64 KiB for ${answerTokens} tokens, and the answer is complete`, async () => {
      const session = createSession({ answerTokens, tokenMs: 1 });
      const { sink, stream } = session.startAnswer(createFakeSink({ isSlow: true }));
      let maxHeldBytes = 0;
      for (let round = 0; round < 2_000 && sink.getEnd() === undefined; round++) {
        await session.timers.runForAsync(100, 50);
        sink.readBytes(400);
        maxHeldBytes = Math.max(maxHeldBytes, stream.getHeldBytes());
      }
      expect(sink.getEnd()).toEqual(answerTokens);
      const answer = Array.from({ length: answerTokens }, (_, offset) => buildFakeToken(offset));
      expect(sink.getText() === answer.join('')).toEqual(true);
      expect(maxHeldBytes <= MAX_STREAM_BYTES).toEqual(true);
      expect(session.countPlacements()).toEqual(0);
    });
  }
});

describe('createTokenLog', () => {
  it('compresses tokens that were read, and lists them until they are dropped', () => {
    const log = createTokenLog();
    const texts = Array.from({ length: 20_000 }, (_, offset) => buildFakeToken(offset));
    texts.forEach((text) => log.add(text));
    const rawBytes = log.getBytes();
    let offset = 0;
    let read = '';
    for (let batch = log.readBatch(0, 1_000); batch !== undefined;) {
      read += batch.text;
      offset = batch.endOffset;
      batch = log.readBatch(offset, 1_000);
    }
    expect([read === texts.join(''), offset]).toEqual([true, 20_000]);
    expect(log.list()).toEqual(texts);
    expect(log.getBytes() < rawBytes / 2).toEqual(true);
    log.dropCompressed();
    expect([log.isComplete(), log.getCompressedBytes()]).toEqual([false, 0]);
  });
});
