import { readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createFakeSink } from './fixtures/fake-sink.ts';
import type { FakeSink } from './fixtures/fake-sink.ts';
import { buildFakeToken } from './fixtures/fake-engine.ts';
import { createSession } from './fixtures/create-session.ts';
import type { Session, SessionOptions } from './fixtures/create-session.ts';
import { MAX_STREAM_BYTES } from './index.ts';

const FIXTURES = 'src/core/streams/fixtures';

function buildAnswer(tokens: number): string {
  return Array.from({ length: tokens }, (_, offset) => buildFakeToken(offset)).join('');
}

/** Compares a text with a golden file, after writing the file if UPDATE_GOLDEN=1. */
function checkGolden(name: string, text: string): void {
  const file = `${FIXTURES}/${name}.golden.txt`;
  if (process.env.UPDATE_GOLDEN === '1') writeFileSync(file, text);
  expect(text).toEqual(readFileSync(file, 'utf8'));
}

interface Case {
  /** Name of the golden file. */
  name: string;
  title: string;
  options?: SessionOptions;
  /** Runs the session and returns the caller whose answer is checked. */
  run(session: Session): Promise<FakeSink>;
  /** Total of the end event, or the kind of the error. */
  expected: number | string;
  /** Number of tokens that the caller receives; `expected` by default. */
  tokens?: number;
}

const cases: Case[] = [
  {
    name: 'plain',
    title: 'delivers an answer',
    async run({ startAnswer, timers }) {
      const { sink } = startAnswer();
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'stray-events',
    title: 'drops events of other requests and attempts, and repeated events',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(550);
      engine.sendStrayEvents('vm-1');
      engine.repeatToken('vm-1');
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'gap',
    title: 'resumes at the engine on a gap',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(550);
      engine.skipToken('vm-1');
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'gap-at-end',
    title: 'resumes at the engine when only the last token is missing',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(1_950);
      engine.skipToken('vm-1');
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'silent',
    title: 'resumes through a new connection when the old one is silent',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(550);
      engine.silenceConnections('vm-1');
      await timers.runForAsync(6_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'target-dies',
    title: 'continues on another target when the target fails in mid-stream',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(550);
      engine.killTarget('vm-1');
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'two-targets-die',
    title: 'continues on a third target when the second one fails too',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(550);
      engine.killTarget('vm-1');
      await timers.runForAsync(550);
      engine.killTarget('vm-2');
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'all-targets-die',
    title: 'ends with an explicit error when all targets have failed',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(550);
      ['vm-1', 'vm-2', 'vm-3'].forEach((vm) => engine.killTarget(vm));
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 'stream-broken',
    tokens: 5,
  },
  {
    name: 'target-restarts',
    title: 'continues on another target when the engine restarted and lost the stream',
    async run({ startAnswer, timers, engine }) {
      const { sink } = startAnswer();
      await timers.runForAsync(550);
      engine.restartTarget('vm-1');
      await timers.runForAsync(3_000);
      return sink;
    },
    expected: 20,
  },
  {
    name: 'caller-resumes',
    title: 'continues an answer that was resumed on another connection after its target fails',
    async run({ startAnswer, resumeAnswer, timers, engine }) {
      const first = startAnswer();
      await timers.runForAsync(550);
      first.sink.leave();
      const second = createFakeSink();
      resumeAnswer(first.sink.getResumeToken(), second);
      await timers.runForAsync(550);
      engine.killTarget('vm-1');
      await timers.runForAsync(5_000);
      expect(first.sink.getText() + second.getText()).toEqual(buildAnswer(20));
      const combinedSink = createFakeSink();
      combinedSink.writeTokens(first.sink.getText() + second.getText(), 19, '');
      combinedSink.writeEnd(Number(second.getEnd()));
      return combinedSink;
    },
    expected: 20,
  },
  {
    name: 'resume-lost',
    title: 'does not mix two answers when a resumed stream no longer exists',
    async run({ startAnswer, resumeAnswer, timers, engine }) {
      const first = startAnswer();
      await timers.runForAsync(550);
      first.sink.leave();
      engine.restartTarget('vm-1');
      const { sink } = resumeAnswer(first.sink.getResumeToken());
      await timers.runForAsync(5_000);
      return sink;
    },
    expected: 'stream-lost',
    tokens: 0,
  },
  {
    name: 'slow-reader',
    title: 'cancels the engine stream of a slow reader and continues the answer later',
    options: { answerTokens: 12_000, tokenMs: 1 },
    async run({ startAnswer, timers, engine }) {
      const { sink, stream } = startAnswer(createFakeSink({ isSlow: true }));
      await timers.runForAsync(15_000);
      expect([engine.countRunning(), stream.getHeldBytes() <= MAX_STREAM_BYTES]).toEqual([0, true]);
      for (let second = 0; second < 40; second++) {
        for (let read = 0; read < 4; read++) sink.readBytes(8_192 * 2);
        await timers.runForAsync(1_000);
      }
      return sink;
    },
    expected: 12_000,
  },
  {
    name: 'caller-leaves',
    title: 'cancels the engine stream when the caller disconnects',
    async run({ startAnswer, timers, engine }) {
      const { sink, stream } = startAnswer();
      await timers.runForAsync(550);
      sink.leave();
      await timers.runForAsync(10_000);
      expect([String(await stream.finished), engine.countRunning()]).toEqual(['caller-gone', 0]);
      const combinedSink = createFakeSink();
      combinedSink.writeTokens(sink.getText(), 0, '');
      combinedSink.writeEnd(-1);
      return combinedSink;
    },
    expected: -1,
    tokens: 5,
  },
  {
    name: 'caller-frozen',
    title: 'closes the connection of a caller that does not read for 60 s',
    options: { answerTokens: 2_000, tokenMs: 1 },
    async run({ startAnswer, timers }) {
      const { sink, stream } = startAnswer(createFakeSink({ isSlow: true }));
      await timers.runForAsync(70_000, 100);
      expect([String(await stream.finished), sink.isClosed()]).toEqual(['caller-gone', true]);
      const combinedSink = createFakeSink();
      combinedSink.writeTokens(buildAnswer(0), 0, '');
      combinedSink.writeEnd(-1);
      return combinedSink;
    },
    expected: -1,
    tokens: 0,
  },
];

describe('sessions of one answer', () => {
  for (const { name, title, options, run, expected, tokens } of cases) {
    // Guards against lost, duplicated or foreign tokens, and against ends without an event.
    it(title, async () => {
      const session = createSession(options);
      const sink = await run(session);
      const expectedTokens = tokens ?? Number(expected);
      expect([sink.getText(), sink.getEnd()]).toEqual([buildAnswer(expectedTokens), expected]);
      expect([session.countPlacements(), session.budget.getBytes()]).toEqual([0, 0]);
      checkGolden(name, session.formatTimeline());
    });
  }
});
