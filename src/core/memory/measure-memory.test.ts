import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createMemoryMeter } from './measure-memory.ts';

const USAGE = { rss: 100, heapTotal: 80, heapUsed: 60, external: 20, arrayBuffers: 10 };

describe('memory meter', () => {
  // Guards against an unexpected error in each period while a gateway has no free file descriptor.
  it('keeps the last figures if the memory cannot be read', () => {
    let isReadable = true;
    const read = (): NodeJS.MemoryUsage => {
      if (!isReadable) throw new Error('EMFILE');
      return USAGE;
    };
    const measure = createMemoryMeter(read as typeof process.memoryUsage);
    const first = measure();
    expect(first.residentBytes).toEqual(100);
    isReadable = false;
    expect(measure()).toEqual(first);
  });

  it('fails if the memory could never be read', () => {
    const read = (): never => {
      throw new Error('EMFILE');
    };
    expect(() => createMemoryMeter(read as unknown as typeof process.memoryUsage)()).toThrow(
      'EMFILE',
    );
  });
});
