import type { TimerService } from '../timers/index.ts';
import type { PlaceKey, RequestClass } from './types.ts';

/** Counts which requests were refused, so that no class of them bears all refusals. */
export interface ServedShares {
  recordAsked(requestClass: RequestClass): void;
  /** Records a refusal of a request that was counted as asked. */
  recordRefused(requestClass: RequestClass): void;
  /** Returns the share of the lately asked requests of a key that were refused, from 0 to 1. */
  getRefusedShare(key: PlaceKey): number;
  /** Whether the class was served so much less than others that it is refused last. */
  isOwed(requestClass: RequestClass): boolean;
}

/** Time over which counts fade to a third; long enough to see some requests of each class. */
const FADE_MS = 10_000;
/**
 * Least share that a class is served, as a part of the share of those that it is compared with. The
 * users allow a quarter for routes and customers, and half for large requests; what fails at targets
 * takes a part of that.
 */
const MIN_ROUTE_PART = 0.5;
const MIN_CUSTOMER_PART = 0.5;
const MIN_LARGE_PART = 0.75;
/** Requests that count as served in advance, so that the first refusal says little. */
const PRIOR_REQUESTS = 2;
/** Classes that are counted; the one not seen for longest is forgotten. */
const MAX_CLASSES = 4_096;

interface Count {
  asked: number;
  refused: number;
  updatedMs: number;
}

/** Creates empty counts. */
export function createServedShares(timers: Pick<TimerService, 'getMonotonicMs'>): ServedShares {
  const counts = new Map<string, Count>();

  const getCount = (name: string): Count => {
    const now = timers.getMonotonicMs();
    const known = counts.get(name) ?? { asked: 0, refused: 0, updatedMs: now };
    const left = Math.exp((known.updatedMs - now) / FADE_MS);
    return { asked: known.asked * left, refused: known.refused * left, updatedMs: now };
  };

  const addTo = (name: string, asked: number, refused: number): void => {
    const count = getCount(name);
    count.asked += asked;
    count.refused += refused;
    counts.delete(name);
    counts.set(name, count);
    if (counts.size <= MAX_CLASSES) return;
    const [oldest] = counts.keys();
    if (oldest !== undefined) counts.delete(oldest);
  };

  const formatNames = ({ key, route, customer, isLarge }: RequestClass) => ({
    all: `all ${key}`,
    route: `route ${key} ${route}`,
    large: isLarge ? `large ${key} ${route}` : undefined,
    customer: customer === undefined ? undefined : `customer ${key} ${customer}`,
  });

  const addToClass = (requestClass: RequestClass, asked: number, refused: number): void => {
    for (const name of Object.values(formatNames(requestClass))) {
      if (name !== undefined) addTo(name, asked, refused);
    }
  };

  const getServedShare = (name: string): number => {
    const { asked, refused } = getCount(name);
    return 1 - Math.min(asked, refused) / (asked + PRIOR_REQUESTS);
  };

  const isBelow = (name: string | undefined, part: number, reference: string): boolean =>
    name !== undefined && getServedShare(name) < part * getServedShare(reference);

  return {
    recordAsked: (requestClass) => addToClass(requestClass, 1, 0),
    recordRefused: (requestClass) => addToClass(requestClass, 0, 1),
    getRefusedShare: (key) => 1 - getServedShare(`all ${key}`),
    isOwed(requestClass) {
      const { all, route, large, customer } = formatNames(requestClass);
      return (
        isBelow(route, MIN_ROUTE_PART, all) ||
        isBelow(large, MIN_LARGE_PART, route) ||
        isBelow(customer, MIN_CUSTOMER_PART, all)
      );
    },
  };
}
