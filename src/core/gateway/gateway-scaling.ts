import type { DutySettings } from '../duties/index.ts';
import { DutyCallResult } from '../duties/index.ts';
import type { ScalingOptions } from '../scaling/index.ts';
import { startScaling } from '../scaling/index.ts';
import type { GatewayDuties } from './gateway-duties.ts';
import type { GatewayMetrics } from './gateway-metrics.ts';

/** Dependencies and settings of the ordering of targets by one gateway. */
export interface GatewayScalingOptions extends Omit<
  ScalingOptions,
  'getHolder' | 'orderTargetCount' | 'countOrder'
> {
  duties: Pick<GatewayDuties, 'getHolder' | 'calls'>;
  /** Undefined if this deployment has no duties. */
  settings: DutySettings | undefined;
  countScaleOrder: GatewayMetrics['countScaleOrder'];
}

/** Starts to order targets if the deployment has this duty; returns the function that stops it. */
export function startGatewayScaling(options: GatewayScalingOptions): () => void {
  const { duties, settings } = options;
  const { calls } = duties;
  if (settings?.areTargetsOrdered !== true || calls === undefined) return () => undefined;
  return startScaling({
    ...options,
    getHolder: duties.getHolder,
    orderTargetCount: calls.orderTargetCount,
    countOrder(order, result) {
      options.countScaleOrder(order, result, result === DutyCallResult.Accepted);
    },
  }).stop;
}
