import { describe, it } from 'node:test';
import { expect } from 'earl';
import { buildHandoverState, handoverStateSchema, toNotices } from './handover-state.ts';

const HEADS = [{ group: 'g1/2', headId: 'i-1', address: '10.0.0.1:80' }];
const NOTICE = { parts: ['s/a', 's/b'], customers: ['c'], crashes: 3, ageMs: 2_000 };

describe('handover state', () => {
  // Guards against deadly prompts that crash engines again after all gateways have restarted.
  it('keeps the quarantine, and counts the time in which no gateway ran', () => {
    const stored: unknown = JSON.parse(JSON.stringify(buildHandoverState(HEADS, [NOTICE], 50_000)));
    const state = handoverStateSchema.parse(stored);
    expect(state.heads).toEqual(HEADS);
    expect(toNotices(state, 60_000)).toEqual([{ ...NOTICE, ageMs: 12_000 }]);
  });

  const cases = [
    { name: 'reads the locations that an earlier release stored', stored: HEADS, heads: HEADS },
    {
      name: 'takes no state from a notice without parts, which would hold for every prompt',
      stored: { heads: HEADS, quarantine: [{ ...NOTICE, parts: [], lastCrashWallMs: 0 }] },
      heads: undefined,
    },
  ];
  for (const { name, stored, heads } of cases) {
    it(name, () => {
      expect(handoverStateSchema.safeParse(stored).data?.heads).toEqual(heads);
    });
  }

  it('takes a crash in the future of this clock for one of now', () => {
    const state = buildHandoverState([], [NOTICE], 50_000);
    expect(toNotices(state, 1_000)[0]?.ageMs).toEqual(0);
  });
});
