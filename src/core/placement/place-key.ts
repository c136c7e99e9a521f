import type { PlaceKey } from './types.ts';

/** Formats the key of a service and a model; requests without a model have one key per service. */
export function formatPlaceKey(service: string, model: string | undefined): PlaceKey {
  return `${service}/${model ?? ''}`;
}
