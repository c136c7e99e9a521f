import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { LogContext, Logger } from '../logs/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { logReadiness } from './readiness-log.ts';

interface Case {
  name: string;
  readyAfterMs: number;
  stopAfterMs?: number;
  expected: [string, LogContext][];
}

const cases: Case[] = [
  {
    name: 'says when it is ready',
    readyAfterMs: 300,
    expected: [['ready', { waitedMs: 300 }]],
  },
  {
    name: 'says what it waits for as long as it waits',
    readyAfterMs: 10_500,
    expected: [
      ['not ready yet', { missing: 'configuration targets', waitedMs: 5_000 }],
      ['not ready yet', { missing: 'configuration targets', waitedMs: 10_000 }],
      ['ready', { waitedMs: 10_500 }],
    ],
  },
  {
    name: 'says nothing once it is to stop',
    readyAfterMs: 60_000,
    stopAfterMs: 1_000,
    expected: [],
  },
];

describe('the log of a gateway that becomes ready', () => {
  for (const testCase of cases) {
    // Guards against gateways that never become ready and do not tell why.
    it(testCase.name, async () => {
      const timers = createManualTimers();
      const abort = new AbortController();
      const lines: [string, LogContext][] = [];
      const addLine = (message: string, context: LogContext = {}): void => {
        lines.push([message, context]);
      };
      const logger: Logger = { debug: addLine, info: addLine, warn: addLine, error: addLine };
      if (testCase.stopAfterMs !== undefined) {
        timers.scheduleOnce(testCase.stopAfterMs, () => abort.abort());
      }
      void logReadiness({
        timers,
        logger,
        listMissing: () =>
          timers.getMonotonicMs() >= testCase.readyAfterMs ? [] : ['configuration', 'targets'],
        abortSignal: abort.signal,
      });
      await timers.runForAsync(20_000, 50);
      expect(lines).toEqual(testCase.expected);
    });
  }
});
