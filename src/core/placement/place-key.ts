import type { EngineSpec } from '../serving/index.ts';
import type { PlaceKey } from './types.ts';

/** Stands for all models that a service does not have; callers can name any number of them. */
const UNKNOWN_MODEL = '(unknown)';

/** Formats the key of a service and a model; requests without a model have one key per service. */
export function formatPlaceKey(service: string, model: string | undefined): PlaceKey {
  return `${service}/${model ?? ''}`;
}

/**
 * Formats the key of a request. There are as many keys as the configuration has models, so that
 * callers cannot add to what is kept for each of them.
 */
export function formatRequestKey(
  service: { name: string; engine: Pick<EngineSpec, 'models'> | undefined },
  model: string | undefined,
): PlaceKey {
  if (service.engine === undefined || model === undefined) {
    return formatPlaceKey(service.name, undefined);
  }
  const isKnown = service.engine.models.some(({ name }) => name === model);
  return formatPlaceKey(service.name, isKnown ? model : UNKNOWN_MODEL);
}
