import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createEventParser, MAX_EVENT_BYTES } from './event-parser.ts';

/** A gap between events that is longer than this makes the streams of other callers late. */
const MAX_BLOCK_MS = 200;
const MICROSECONDS_PER_MS = 1_000;

describe('event parser', () => {
  // Guards against one target that takes the processor of a gateway with the smallest chunks.
  it('takes little time for an event in chunks of one byte', () => {
    const parser = createEventParser();
    const chunk = Buffer.from('x');
    const start = process.cpuUsage();
    for (let index = 0; index < MAX_EVENT_BYTES; index++) parser.addChunk(chunk);
    const { user, system } = process.cpuUsage(start);
    expect(parser.countPendingBytes()).toEqual(MAX_EVENT_BYTES);
    expect((user + system) / MICROSECONDS_PER_MS < MAX_BLOCK_MS).toEqual(true);
  });

  it('leaves the bytes of earlier events as they are when more chunks arrive', () => {
    const parser = createEventParser();
    const texts = ['id: 1\ndata: a\n\n', 'id: 2\r\ndata: bb\r\n\r\n', 'id: 3\ndata: ccc\n\n'];
    const bytes = Buffer.from(texts.join(''));
    for (let size = 1; size <= bytes.length; size++) {
      const events = [];
      for (let start = 0; start < bytes.length; start += size) {
        events.push(...parser.addChunk(Buffer.from(bytes.subarray(start, start + size))));
      }
      expect(events.map((event) => event.bytes.toString())).toEqual(texts);
      expect(events.map(({ id }) => id)).toEqual(['1', '2', '3']);
      expect(parser.countPendingBytes()).toEqual(0);
    }
  });
});
