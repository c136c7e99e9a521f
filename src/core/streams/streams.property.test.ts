import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { createSession } from './fixtures/create-session.ts';
import { buildFakeToken } from './fixtures/fake-engine.ts';
import type { FakeEngine } from './fixtures/fake-engine.ts';
import { createFakeSink } from './fixtures/fake-sink.ts';
import { MAX_STREAM_BYTES } from './index.ts';
import { createTokenLog } from './token-log.ts';

const SEED = 20_261_204;
const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5'];
const ANSWER_TOKENS = 40;

type Fault = Exclude<
  keyof FakeEngine,
  | 'startStream'
  | 'resumeStream'
  | 'stopStream'
  | 'countRunning'
  | 'countHeldTokens'
  | 'countStarted'
>;

const FAULTS: Fault[] = [
  'killTarget',
  'restartTarget',
  'silenceConnections',
  'breakConnections',
  'skipToken',
  'sendStrayEvents',
  'repeatToken',
];

const stepsArbitrary = fc.array(
  fc.record({
    waitMs: fc.integer({ min: 0, max: 900 }),
    fault: fc.constantFrom(...FAULTS),
    vm: fc.constantFrom(...VMS),
    readBytes: fc.integer({ min: 0, max: 400 }),
  }),
  { maxLength: 12 },
);

function buildAnswer(tokens: number): string {
  return Array.from({ length: tokens }, (_, offset) => buildFakeToken(offset)).join('');
}

describe('createAnswerStream under random faults', () => {
  // Guards against any sequence of faults that loses, duplicates or mixes tokens, or ends an answer
  // without an end or error event.
  it('delivers a whole answer, or its beginning and an explicit error', async () => {
    console.log(`fast-check seed ${SEED}`);
    let complete = 0;
    await fc.assert(
      fc.asyncProperty(stepsArbitrary, fc.boolean(), async (steps, isSlow) => {
        const session = createSession({ vms: VMS, answerTokens: ANSWER_TOKENS });
        const { sink, stream } = session.startAnswer(createFakeSink({ isSlow }));
        for (const { waitMs, fault, vm, readBytes } of steps) {
          await session.timers.runForAsync(waitMs, 50);
          session.engine[fault](vm);
          sink.readBytes(readBytes);
        }
        for (let second = 0; second < 40; second++) {
          sink.readBytes(MAX_STREAM_BYTES);
          await session.timers.runForAsync(1_000, 100);
        }
        await stream.finished;
        const end = sink.getEnd();
        if (end === ANSWER_TOKENS) {
          complete++;
          expect(sink.getText()).toEqual(buildAnswer(ANSWER_TOKENS));
        } else {
          expect(end).toEqual('stream-broken');
          expect(buildAnswer(ANSWER_TOKENS).startsWith(sink.getText())).toEqual(true);
        }
        expect([session.countPlacements(), session.budget.getBytes()]).toEqual([0, 0]);
      }),
      { seed: SEED, numRuns: 150 },
    );
    // Most sequences leave a target alive, so errors must be rare.
    expect(complete >= 100).toEqual(true);
  });
});

describe('createTokenLog', () => {
  // Guards against text that changes when it is encoded in the log.
  it('returns every token unchanged', () => {
    console.log(`fast-check seed ${SEED}`);
    const text = fc.oneof(
      fc.string({ unit: 'binary', maxLength: 300 }),
      fc.constantFrom('\ud83d', '\ude00', 'x\ud83dy', ''),
    );
    fc.assert(
      fc.property(fc.array(text), fc.nat(10), fc.nat(20), (texts, firstOffset, start) => {
        const log = createTokenLog(firstOffset);
        const bytes = texts.map((token) => log.add(token)).reduce((sum, size) => sum + size, 0);
        expect(log.list()).toEqual(texts);
        const from = Math.min(start, texts.length);
        let rest = '';
        let restBytes = 0;
        let offset = firstOffset + from;
        for (
          let batch = log.readBatch(offset, 64);
          batch !== undefined;
          batch = log.readBatch(offset, 64)
        ) {
          rest += batch.text;
          restBytes += batch.bytes;
          offset = batch.endOffset;
        }
        expect([rest, offset]).toEqual([texts.slice(from).join(''), log.getEndOffset()]);
        if (from === 0) expect(restBytes).toEqual(bytes);
      }),
      { seed: SEED },
    );
  });
});
