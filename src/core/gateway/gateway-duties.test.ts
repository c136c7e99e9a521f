import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { DutySettings, UsageReport } from '../duties/index.ts';
import { DutyCallResult } from '../duties/index.ts';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import { createRestorableStore } from '../store/fixtures/restorable-store.ts';
import { createManualTimers } from '../timers/index.ts';
import { startGatewayDuties } from './gateway-duties.ts';

const SETTINGS: DutySettings = {
  isUsageReported: true,
  areTargetsOrdered: false,
  callsPerSecond: 50,
  leaseMs: 3_000,
  usageWindowMs: 5_000,
  usageLateMs: 10_000,
};

describe('duties of a gateway', () => {
  const cases: { name: string; settings: DutySettings | undefined; expected: boolean }[] = [
    { name: 'settings with the report of usage', settings: SETTINGS, expected: true },
    { name: 'no settings', settings: undefined, expected: false },
    {
      name: 'settings without the report of usage',
      settings: { ...SETTINGS, isUsageReported: false },
      expected: false,
    },
  ];
  for (const { name, settings, expected } of cases) {
    // Guards against calls to platforms that do not know them.
    it(`${expected ? 'report' : 'report no'} usage with ${name}`, async () => {
      const timers = createManualTimers();
      const reports: UsageReport[] = [];
      const duties = startGatewayDuties({
        vmName: 'a',
        incarnation: 1,
        settings,
        calls: {
          reportUsage(_holder, report) {
            reports.push(report);
            return Promise.resolve(DutyCallResult.Accepted);
          },
          orderTargetCount: () => Promise.resolve(DutyCallResult.Accepted),
          close: () => Promise.resolve(),
        },
        store: createRestorableStore(timers).client,
        timers,
        logger: createLogger('test'),
        errorReporter: createErrorReporter(() => undefined),
        getTerm: () => 7,
        countWindows: () => undefined,
      });
      await timers.runForAsync(5_100);
      duties.recordBegin('c');
      duties.recordBegin(undefined);
      await timers.runForAsync(10_000);
      await duties.stop();
      expect(reports.flatMap(({ counts }) => [...counts])).toEqual(expected ? [['c', 1]] : []);
      expect(duties.getHolder()?.token).toEqual(settings && 7);
    });
  }
});
