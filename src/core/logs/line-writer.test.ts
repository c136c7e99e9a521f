import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { FLUSH_DELAY_MS, createLineWriter, MAX_BUFFERED_BYTES } from './line-writer.ts';
import type { WriteBytes } from './line-writer.ts';

/** Creates a line writer whose output accepts only part of each write, fails or blocks on demand. */
function createTestWriter() {
  const timers = createManualTimers();
  const written: string[] = [];
  const blockedWrites: (() => void)[] = [];
  let isReading = true;
  let failures = 0;
  let maxWriteBytes = Infinity;
  const writeBytes: WriteBytes = (bytes, done) => {
    const finish = (): void => {
      if (failures > 0) {
        failures--;
        done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
        return;
      }
      const count = Math.min(bytes.length, maxWriteBytes);
      written.push(bytes.subarray(0, count).toString());
      done(null, count);
    };
    if (isReading) finish();
    else blockedWrites.push(finish);
  };
  const writer = createLineWriter({
    writeBytes,
    scheduleOnce: timers.scheduleOnce,
    formatDroppedLines: (count) => `left out ${count}`,
  });
  return {
    timers,
    writer,
    readAll: () => written.join(''),
    countWrites: () => written.length,
    setReading(value: boolean): void {
      isReading = value;
      if (value) blockedWrites.splice(0).forEach((finish) => finish());
    },
    setFailures: (value: number) => {
      failures = value;
    },
    setMaxWriteBytes: (value: number) => {
      maxWriteBytes = value;
    },
  };
}

describe('createLineWriter', () => {
  it('writes lines in order and combines them into one write', () => {
    const { timers, writer, readAll, countWrites } = createTestWriter();
    ['a', 'b', 'c'].forEach(writer.addLine);
    timers.runFor(FLUSH_DELAY_MS);
    expect(readAll()).toEqual('a\nb\nc\n');
    expect(countWrites()).toEqual(1);
  });

  // Guards against a process that blocks or runs out of memory when its output is not read.
  it('buffers a limited number of bytes and reports how many lines it dropped', () => {
    const { timers, writer, readAll, setReading } = createTestWriter();
    setReading(false);
    const line = 'x'.repeat(1023);
    const count = MAX_BUFFERED_BYTES / 1024 + 10;
    for (let index = 0; index < count; index++) writer.addLine(line);
    timers.runFor(FLUSH_DELAY_MS);
    setReading(true);
    timers.runFor(1_000);
    expect(
      readAll()
        .split('\n')
        .filter((text) => text === line).length,
    ).toEqual(count - 10);
    expect(readAll().includes('left out 10\n')).toEqual(true);
  });

  // Guards against truncated or duplicate lines when a pipe accepts only part of a write.
  it('continues after a partial write', () => {
    const { timers, writer, readAll, setMaxWriteBytes } = createTestWriter();
    setMaxWriteBytes(3);
    writer.addLine('a long line');
    timers.runFor(FLUSH_DELAY_MS);
    expect(readAll()).toEqual('a long line\n');
  });

  it('retries when the pipe is full', () => {
    const { timers, writer, readAll, setFailures } = createTestWriter();
    setFailures(2);
    writer.addLine('a');
    timers.runFor(1_000);
    expect(readAll()).toEqual('a\n');
  });

  it('drains buffered lines and gives up when the output is not read', async () => {
    const { timers, writer, readAll, setReading } = createTestWriter();
    writer.addLine('a');
    const drained = writer.drain(200);
    await timers.runForAsync(10);
    await drained;
    expect(readAll()).toEqual('a\n');
    setReading(false);
    writer.addLine('b');
    const abandoned = writer.drain(200);
    await timers.runForAsync(500);
    await abandoned;
    expect(readAll()).toEqual('a\n');
  });
});
