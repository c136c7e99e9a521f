import { spawn } from 'node:child_process';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createTimerService } from '../../src/core/timers/index.ts';

const DAEMON = 'test/processes/fixtures/log-flood-daemon.ts';
/** The daemon logs for this long, far more than a pipe buffers, and must still react to SIGTERM. */
const LOGGING_MS = 1_500;
const EXIT_LIMIT_MS = 3_000;
/** Memory of the idle daemon, the lines that may be queued, and garbage between two collections. */
const MAX_MEMORY_BYTES = 30 * 1024 * 1024;

describe('log output whose reader is blocked', () => {
  // Guards against a gateway that stops serving, or runs out of memory, when its logs are not read.
  it('neither blocks the process nor exhausts its memory', async () => {
    const timers = createTimerService();
    const child = spawn(process.execPath, ['--import', 'tsx', DAEMON], {
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    const memorySamples: number[] = [];
    child.on('message', (bytes: number) => memorySamples.push(bytes));
    await new Promise<void>((resolve) => {
      child.once('message', () => resolve());
    });
    await timers.waitFor(LOGGING_MS);
    const ended = new Promise<boolean>((resolve) => {
      child.once('exit', () => resolve(true));
    });
    child.kill('SIGTERM');
    const hasEnded = await Promise.race([ended, timers.waitFor(EXIT_LIMIT_MS).then(() => false)]);
    child.kill('SIGKILL');
    expect(memorySamples.length > 10).toEqual(true);
    expect(Math.min(...memorySamples.slice(-5)) < MAX_MEMORY_BYTES).toEqual(true);
    expect(hasEnded).toEqual(true);
  });
});
