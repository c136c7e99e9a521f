import type { PartKey } from './types.ts';

/** Parts of recent crashes, for which the other gateways are told when answers begin with them. */
export interface WatchedParts {
  add(parts: readonly PartKey[]): void;
  has(part: PartKey): boolean;
  list(): PartKey[];
}

/** How long a part is watched after a crash with it. */
const WATCH_MS = 10_000;
/** Parts that are watched at most; callers choose how many parts a crash involves. */
const MAX_WATCHED_PARTS = 1_024;

/** Creates the empty set. */
export function createWatchedParts(getMonotonicMs: () => number): WatchedParts {
  const untilMs = new Map<PartKey, number>();

  return {
    add(parts) {
      const endMs = getMonotonicMs() + WATCH_MS;
      for (const part of parts) {
        if (untilMs.has(part) || untilMs.size < MAX_WATCHED_PARTS) untilMs.set(part, endMs);
      }
    },
    has: (part) => untilMs.has(part),
    list() {
      const now = getMonotonicMs();
      for (const [part, endMs] of untilMs) if (endMs < now) untilMs.delete(part);
      return [...untilMs.keys()];
    },
  };
}
