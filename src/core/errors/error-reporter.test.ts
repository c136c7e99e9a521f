import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createErrorReporter, ErrorOrigin } from './error-reporter.ts';

describe('error reporter', () => {
  // Guards against logs that an error in every timer step fills.
  it('tells every listener of each error and logs a sample', () => {
    let lines = 0;
    let reports = 0;
    const reporter = createErrorReporter(() => {
      lines++;
    });
    reporter.subscribe(() => {
      reports++;
    });
    for (let count = 0; count < 1_000; count++) {
      reporter.report(ErrorOrigin.Timer, new Error('broken'));
    }
    expect(reports).toEqual(1_000);
    expect(lines).toEqual(30);
  });
});
