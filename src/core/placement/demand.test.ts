import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createManualTimers } from '../timers/index.ts';
import { computeRemainingDemands, computeRequestsPerSecond, createDemandMeter } from './demand.ts';
import { createDemandView } from './demand-view.ts';

const DEMAND = {
  key: 's/m',
  requestsPerSecond: 10,
  promptTokensPerSecond: 7_000,
  answersPerSecond: 5,
  eventsPerSecond: 150,
};

describe('demand meter', () => {
  it('measures the rates of the last seconds', () => {
    const timers = createManualTimers();
    const meter = createDemandMeter(timers);
    for (let index = 0; index < 40; index++) {
      meter.recordRequest('s/m', 700);
      if (index % 2 === 0) meter.recordAnswer('s/m', 30);
      timers.runFor(100);
    }
    expect(meter.listDemands()).toEqual([DEMAND]);
    const others = [
      { ...DEMAND, requestsPerSecond: 5 },
      { ...DEMAND, key: 's/n' },
    ];
    expect(computeRequestsPerSecond([meter.listDemands(), others], 's/m')).toEqual(15);
    timers.runFor(10_000);
    expect(meter.listDemands()).toEqual([]);
  });

  // Guards against callers that state sizes which no sum can hold.
  it('bounds the tokens that one prompt counts for', () => {
    const timers = createManualTimers();
    const meter = createDemandMeter(timers);
    meter.recordRequest('s/m', 1e308);
    timers.runFor(1_000);
    expect(meter.listDemands()[0]?.promptTokensPerSecond).toEqual(250_000);
  });

  it('leaves the demand of the other gateways when its own is taken out of the sum', () => {
    const own = { ...DEMAND, requestsPerSecond: 4, eventsPerSecond: 50 };
    const expected = {
      key: 's/m',
      requestsPerSecond: 6,
      promptTokensPerSecond: 0,
      answersPerSecond: 0,
      eventsPerSecond: 100,
    };
    expect(computeRemainingDemands([DEMAND], [own])).toEqual([expected]);
  });
});

describe('demand view', () => {
  const serviceTimes = { getDurationMs: () => 900 };

  it('sums the rates and averages the sizes over all gateways', () => {
    const view = createDemandView({ listDemands: () => [DEMAND] }, serviceTimes);
    view.setOtherDemands([{ ...DEMAND, promptTokensPerSecond: 3_000 }]);
    expect(view.getDemand('s', 'm')).toEqual({
      requestsPerSecond: 20,
      durationMs: 900,
      promptTokens: 500,
      answerEvents: 30,
    });
  });

  // Guards against taking "nothing reported" for work of no size.
  it('knows no sizes where gateways report none', () => {
    const view = createDemandView({ listDemands: () => [] }, serviceTimes);
    const demand = { ...DEMAND, promptTokensPerSecond: 0, answersPerSecond: 0 };
    view.setOtherDemands([demand]);
    expect(view.getDemand('s', 'm')).toEqual({
      requestsPerSecond: 10,
      durationMs: 900,
      promptTokens: undefined,
      answerEvents: undefined,
    });
  });
});
