import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Logger as RoarrLogger } from 'roarr';
import type { LogContext } from './index.ts';
import { createLogger } from './index.ts';

/** Creates a logger whose lines are kept. */
function createTestLogger() {
  const lines: { context: LogContext; message: string }[] = [];
  const write = (context: LogContext, message: string): void => {
    lines.push({ context, message });
  };
  const child = { debug: write, info: write, warn: write, error: write };
  const parent = { child: () => child } as unknown as RoarrLogger;
  return { lines, logger: createLogger('test', parent) };
}

describe('logger', () => {
  it('keeps fields as they are', () => {
    const { lines, logger } = createTestLogger();
    logger.info('started', { name: 'a'.repeat(1_000), count: 3, isNew: true, none: null });
    expect(lines).toEqual([
      {
        context: { name: 'a'.repeat(1_000), count: 3, isNew: true, none: null },
        message: '[test] started',
      },
    ]);
  });

  // Guards against lines of any length: callers, targets and the store choose ids and problems.
  it('shortens a long field and tells its length', () => {
    const { lines, logger } = createTestLogger();
    logger.warn('refused a request', { request: 'x'.repeat(15_000) });
    const request = lines[0]?.context.request;
    expect(request).toEqual(`${'x'.repeat(1_000)}... (15000 characters)`);
  });
});
