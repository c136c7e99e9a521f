import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { computeRequestsPerSecond, createDemandMeter } from './demand.ts';

describe('demand meter', () => {
  it('measures the rate of the last seconds', () => {
    const timers = createManualTimers();
    const meter = createDemandMeter(timers);
    for (let index = 0; index < 40; index++) {
      meter.recordRequest('s/m');
      timers.runFor(100);
    }
    expect(meter.listDemands()).toEqual([{ key: 's/m', requestsPerSecond: 10 }]);
    const others = [
      { key: 's/m', requestsPerSecond: 5 },
      { key: 's/n', requestsPerSecond: 7 },
    ];
    expect(computeRequestsPerSecond([meter.listDemands(), others], 's/m')).toEqual(15);
    timers.runFor(10_000);
    expect(meter.listDemands()).toEqual([]);
  });
});
