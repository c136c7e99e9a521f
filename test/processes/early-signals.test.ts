import { spawn } from 'node:child_process';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../../src/core/timers/index.ts';

const DAEMON = 'test/processes/fixtures/slow-start-daemon.ts';
/** Time after the last step within which the daemon would have ended or reported another one. */
const QUIET_MS = 400;
const LIMIT_MS = 10_000;

interface Case {
  name: string;
  /** Step of the daemon at which the signals are sent. */
  at: string;
  signals: NodeJS.Signals[];
  failsToStart?: boolean;
  /** Step after which the test looks at the daemon; undefined if it ends by itself. */
  until?: string;
  steps: string[];
  /** Exit status, or signal that has ended the daemon; undefined while it runs. */
  end: number | string | undefined;
}

const MEANINGLESS_SIGNALS: NodeJS.Signals[] = [
  'SIGUSR1',
  'SIGUSR2',
  'SIGALRM',
  'SIGVTALRM',
  'SIGPROF',
  'SIGIO',
  'SIGPWR',
  'SIGXCPU',
  'SIGPIPE',
  'SIGWINCH',
];

const cases: Case[] = [
  {
    name: 'reloads its settings once after SIGHUPs while it is loaded',
    at: 'loading',
    signals: ['SIGHUP', 'SIGHUP'],
    until: 'reloaded',
    steps: ['loading', 'starting', 'started', 'reloaded'],
    end: undefined,
  },
  {
    name: 'reloads its settings after a SIGHUP while it starts',
    at: 'starting',
    signals: ['SIGHUP'],
    until: 'reloaded',
    steps: ['loading', 'starting', 'started', 'reloaded'],
    end: undefined,
  },
  {
    name: 'stops gracefully after a SIGTERM while it is loaded',
    at: 'loading',
    signals: ['SIGTERM'],
    steps: ['loading', 'starting', 'started', 'stopped'],
    end: 0,
  },
  {
    name: 'stops gracefully after SIGHUP and SIGTERM while it starts',
    at: 'starting',
    signals: ['SIGHUP', 'SIGTERM', 'SIGTERM'],
    steps: ['loading', 'starting', 'started', 'stopped'],
    end: 0,
  },
  {
    name: 'keeps running after signals that mean nothing to it while it is loaded',
    at: 'loading',
    signals: [...MEANINGLESS_SIGNALS, 'SIGHUP'],
    until: 'reloaded',
    steps: ['loading', 'starting', 'started', 'reloaded'],
    end: undefined,
  },
  {
    name: 'keeps running after signals that mean nothing to it, and opens no inspector',
    at: 'started',
    signals: [...MEANINGLESS_SIGNALS, 'SIGHUP'],
    until: 'reloaded',
    steps: ['loading', 'starting', 'started', 'reloaded'],
    end: undefined,
  },
  {
    name: 'stops gracefully after a SIGQUIT',
    at: 'started',
    signals: ['SIGQUIT'],
    steps: ['loading', 'starting', 'started', 'stopped'],
    end: 0,
  },
  {
    name: 'ends with status 0 if a start fails that was to be stopped',
    at: 'starting',
    signals: ['SIGTERM'],
    failsToStart: true,
    steps: ['loading', 'starting'],
    end: 0,
  },
  {
    name: 'ends with status 1 if its start fails',
    at: 'starting',
    signals: [],
    failsToStart: true,
    steps: ['loading', 'starting'],
    end: 1,
  },
];

describe('a daemon that gets signals before it runs', () => {
  for (const testCase of cases) {
    // Guards against a gateway that ends by a SIGHUP or dies by a SIGTERM while it starts.
    it(testCase.name, async () => {
      const timers = createTimerService();
      const options = testCase.failsToStart === true ? ['fail'] : [];
      const child = spawn(process.execPath, ['--import', 'tsx', DAEMON, ...options], {
        stdio: ['ignore', 'ignore', 'ignore', 'ipc'],
      });
      const steps: string[] = [];
      let end: number | string | undefined;
      const finished = new Promise<void>((resolve) => {
        child.on('message', (step: string) => {
          steps.push(step);
          if (step === testCase.at) testCase.signals.forEach((signal) => child.kill(signal));
          if (step === testCase.until) resolve();
        });
        child.on('exit', (status, signal) => {
          end = signal ?? status ?? undefined;
          resolve();
        });
      });
      await Promise.race([finished, timers.waitFor(LIMIT_MS)]);
      await timers.waitFor(QUIET_MS);
      const result = { steps, end };
      child.kill('SIGKILL');
      expect(result).toEqual({ steps: testCase.steps, end: testCase.end });
    });
  }
});
