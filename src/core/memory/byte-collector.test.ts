import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { createByteCollector } from './byte-collector.ts';

describe('byte collector', () => {
  it('returns the bytes as they were added, and starts anew', () => {
    const sizes = fc.array(fc.oneof(fc.nat({ max: 3 }), fc.nat({ max: 20_000 })), {
      maxLength: 30,
    });
    fc.assert(
      fc.property(sizes, (list) => {
        const collector = createByteCollector();
        for (let round = 0; round < 2; round++) {
          const chunks = list.map((size, index) => Buffer.alloc(size, index + round));
          chunks.forEach(collector.addChunk);
          const expected = Buffer.concat(chunks);
          expect(collector.countBytes()).toEqual(expected.length);
          expect(collector.takeBytes().equals(expected)).toEqual(true);
          expect(collector.countBytes()).toEqual(0);
        }
      }),
      { numRuns: 300 },
    );
  });
});
