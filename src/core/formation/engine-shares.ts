import type { EngineSpec, ModelSpec } from '../serving/index.ts';
import type { ModelDemand } from '../work/index.ts';

const MS_PER_SECOND = 1_000;
/** Requests per second of a service below which its configured shares apply. */
const MIN_REQUESTS_PER_SECOND = 2;
/** Bounds of a share, as factors of the configured one, so that a wrong estimate does little harm. */
const MIN_SHARE_FACTOR = 0.6;
const MAX_SHARE_FACTOR = 1.5;

/** Returns the share of the engines that the configuration gives a model, from 0 to 1. */
function computeConfiguredShare(spec: EngineSpec, model: ModelSpec): number {
  const total = spec.models.reduce((sum, one) => sum + one.engineShareWeight, 0);
  return model.engineShareWeight / Math.max(total, Number.EPSILON);
}

/**
 * Computes how many engines a model needs: slots for the mean number of requests at once and for its
 * usual variation, which is its square root.
 */
function computeNeededEngines(spec: EngineSpec, model: ModelSpec, demand: ModelDemand): number {
  const atOnce = (demand.requestsPerSecond * demand.durationMs) / MS_PER_SECOND;
  return ((atOnce + Math.sqrt(atOnce)) / spec.slots) * model.groupSize;
}

/**
 * Divides the engines of a service among its models, as shares from 0 to 1 by model name: by the
 * work that arrives if there is enough of it, else by the configured shares.
 */
export function computeEngineShares(
  spec: EngineSpec,
  getDemand: (model: string) => ModelDemand,
): Map<string, number> {
  const total = spec.models.reduce((sum, one) => sum + getDemand(one.name).requestsPerSecond, 0);
  const needed = spec.models.map((model) =>
    computeNeededEngines(spec, model, getDemand(model.name)),
  );
  const neededTotal = needed.reduce((sum, one) => sum + one, 0);
  const weights = spec.models.map((model, index) => {
    const configured = computeConfiguredShare(spec, model);
    if (total < MIN_REQUESTS_PER_SECOND) return configured;
    const wanted = (needed[index] ?? 0) / Math.max(neededTotal, Number.EPSILON);
    const atLeast = Math.max(wanted, configured * MIN_SHARE_FACTOR);
    return Math.min(atLeast, configured * MAX_SHARE_FACTOR);
  });
  const weightTotal = weights.reduce((sum, one) => sum + one, 0);
  return new Map(
    spec.models.map(({ name }, index) => [
      name,
      (weights[index] ?? 0) / Math.max(weightTotal, Number.EPSILON),
    ]),
  );
}
