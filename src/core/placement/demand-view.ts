import type { ModelDemand } from '../work/index.ts';
import { computeRequestsPerSecond, sumDemands } from './demand.ts';
import type { Demand, DemandMeter } from './demand.ts';
import { formatPlaceKey } from './place-key.ts';
import type { PlaceKey } from './types.ts';
import type { ServiceTimes } from './service-times.ts';

/** The demand that all gateways receive together, as this gateway knows it. */
export interface DemandView {
  getDemand(service: string, model: string): ModelDemand;
  /** Returns the rate of the requests for one key, in requests per second. */
  getRequestsPerSecond(key: PlaceKey): number;
  /** Sets what the other gateways report. */
  setOtherDemands(demands: readonly Demand[]): void;
}

/** Returns a mean; undefined if nothing has been counted. */
function computeMean(total: number, count: number): number | undefined {
  return total > 0 && count > 0 ? total / count : undefined;
}

/** Creates a view of what this gateway measures and of what the others report. */
export function createDemandView(
  meter: Pick<DemandMeter, 'listDemands'>,
  serviceTimes: Pick<ServiceTimes, 'getDurationMs'>,
): DemandView {
  let otherDemands: readonly Demand[] = [];
  return {
    getDemand(service, model) {
      const wanted = formatPlaceKey(service, model);
      const demand = sumDemands([meter.listDemands(), otherDemands]).find(
        ({ key }) => key === wanted,
      );
      const requestsPerSecond = demand?.requestsPerSecond ?? 0;
      return {
        requestsPerSecond,
        durationMs: serviceTimes.getDurationMs(wanted),
        promptTokens: computeMean(demand?.promptTokensPerSecond ?? 0, requestsPerSecond),
        answerEvents: computeMean(demand?.eventsPerSecond ?? 0, demand?.answersPerSecond ?? 0),
      };
    },
    getRequestsPerSecond: (key) =>
      computeRequestsPerSecond([meter.listDemands(), otherDemands], key),
    setOtherDemands(demands) {
      otherDemands = demands;
    },
  };
}
