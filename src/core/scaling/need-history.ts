/** Needed groups by model. */
export type Needs = ReadonlyMap<string, number>;

/** What was needed in the last time. */
export interface NeedHistory {
  addNeeds(nowMs: number, needs: Needs): void;
  /** Returns the highest need of each model within a time. */
  computePeak(nowMs: number, windowMs: number): Needs;
  /** Returns the lowest need of each model within a time. */
  computeLow(nowMs: number, windowMs: number): Needs;
  /** Returns since when needs are known without a gap, in ms; 0 without any. */
  getKnownMs(nowMs: number): number;
}

/** Longest time for which needs are kept. */
const MAX_AGE_MS = 600_000;

/** Creates an empty history, which begins with the first need above 0. */
export function createNeedHistory(): NeedHistory {
  let entries: { atMs: number; needs: Needs }[] = [];
  let sinceMs: number | undefined;

  const mergeNeeds = (
    nowMs: number,
    windowMs: number,
    choose: (left: number, right: number) => number,
  ): Needs => {
    const merged = new Map<string, number>();
    for (const { atMs, needs } of entries) {
      if (nowMs - atMs > windowMs) continue;
      needs.forEach((need, model) => merged.set(model, choose(need, merged.get(model) ?? need)));
    }
    return merged;
  };

  return {
    addNeeds(nowMs, needs) {
      const isIdle = [...needs.values()].every((need) => need === 0);
      if (sinceMs === undefined && isIdle) return;
      sinceMs ??= nowMs;
      entries = entries.filter(({ atMs }) => nowMs - atMs <= MAX_AGE_MS);
      entries.push({ atMs: nowMs, needs });
    },
    computePeak: (nowMs, windowMs) => mergeNeeds(nowMs, windowMs, Math.max),
    computeLow: (nowMs, windowMs) => mergeNeeds(nowMs, windowMs, Math.min),
    getKnownMs: (nowMs) => (sinceMs === undefined ? 0 : nowMs - sinceMs),
  };
}
