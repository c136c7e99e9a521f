import type { PartKey } from './types.ts';

/** Remembers when an answer began last with each part of prompts. */
export interface PartHistory {
  /** Records that an answer has begun with a part; an earlier time than the known one is ignored. */
  recordBegun(part: PartKey, atMs: number): void;
  /** Returns the monotonic time at which an answer began last; undefined if none is remembered. */
  getBegunMs(part: PartKey): number | undefined;
}

/** Parts that are remembered; callers choose the parts, so that there may be any number. */
export const MAX_REMEMBERED_PARTS = 8_192;

/** Creates an empty history, which forgets the parts that were used least recently. */
export function createPartHistory(): PartHistory {
  // A map keeps the order of insertion, so that its first key is the part used least recently.
  const begunMs = new Map<PartKey, number>();

  return {
    recordBegun(part, atMs) {
      const latestMs = Math.max(atMs, begunMs.get(part) ?? -Infinity);
      begunMs.delete(part);
      begunMs.set(part, latestMs);
      if (begunMs.size <= MAX_REMEMBERED_PARTS) return;
      const [oldest] = begunMs.keys();
      if (oldest !== undefined) begunMs.delete(oldest);
    },
    getBegunMs: (part) => begunMs.get(part),
  };
}
