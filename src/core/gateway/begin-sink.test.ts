import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { CallerSink } from '../forwarding/index.ts';
import { createBeginSink } from './begin-sink.ts';

const SINK: CallerSink = {
  sendResponse: () => undefined,
  startBody: () => undefined,
  writeBody: () => true,
  endBody: () => undefined,
  abort: () => undefined,
  onWritable: () => undefined,
};

describe('sink that notes the begin of an answer', () => {
  const cases: { name: string; send(sink: CallerSink): void; expected: number }[] = [
    {
      name: 'a whole answer',
      send: (sink) => sink.sendResponse(200, [], Buffer.alloc(0)),
      expected: 1,
    },
    {
      name: 'a refusal',
      send: (sink) => sink.sendResponse(503, [], Buffer.alloc(0)),
      expected: 0,
    },
    {
      name: 'a failure of the target',
      send: (sink) => sink.startBody(500, []),
      expected: 0,
    },
    {
      name: 'a stream that is broken off',
      send(sink) {
        sink.startBody(200, []);
        sink.writeBody(Buffer.from('data: x\n\n'));
        sink.writeBody(Buffer.from('data: y\n\n'));
        sink.abort();
      },
      expected: 1,
    },
  ];
  for (const { name, send, expected } of cases) {
    // Guards against usage that counts requests which no target ran, or one request twice.
    it(`counts ${expected} for ${name}`, () => {
      let begins = 0;
      send(createBeginSink(SINK, () => begins++));
      expect(begins).toEqual(expected);
    });
  }
});
