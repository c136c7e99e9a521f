import { create } from '@bufbuild/protobuf';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { TargetReportSchema, TargetState } from '../rpc/index.ts';
import { applyReport, applyObservation, buildAgedReport } from './health-record.ts';
import type { HealthRecord } from './health-record.ts';
import type { TargetObservation } from './types.ts';

function buildRecord(state: TargetState, observedMs: number): HealthRecord {
  const report = create(TargetReportSchema, { vm: 'vm-1', state, instanceId: 'i-1' });
  return applyReport(undefined, { report, observedMs });
}

interface Case {
  title: string;
  observation: Omit<TargetObservation, 'vm'>;
  before?: TargetState;
  expected: TargetState;
}

// Guards against a cold target counting as warm after the first request that observed it cold (I3).
const cases: Case[] = [
  { title: 'a failure', observation: { failed: true }, expected: TargetState.UNREACHABLE },
  { title: 'a response that says cold', observation: { warm: false }, expected: TargetState.COLD },
  { title: 'another instance', observation: { instanceId: 'i-2' }, expected: TargetState.COLD },
  {
    title: 'another instance that says warm',
    observation: { instanceId: 'i-2', warm: true },
    expected: TargetState.WARM,
  },
  { title: 'the same instance', observation: { instanceId: 'i-1' }, expected: TargetState.WARM },
  {
    title: 'a response while it was loading',
    observation: { warm: true },
    before: TargetState.LOADING,
    expected: TargetState.LOADING,
  },
];

describe('applyObservation', () => {
  for (const { title, observation, before, expected } of cases) {
    it(`gives ${TargetState[expected].toLowerCase()} after ${title}`, () => {
      const record = buildRecord(before ?? TargetState.WARM, 100);
      expect(applyObservation(record, { vm: 'vm-1', ...observation }, 200).report.state).toEqual(
        expected,
      );
    });
  }
});

describe('applyReport', () => {
  // Guards against a delayed report of a slow prober that overrides a newer failure.
  it('keeps a newer record', () => {
    const newer = buildRecord(TargetState.UNREACHABLE, 200);
    const report = create(TargetReportSchema, { vm: 'vm-1', state: TargetState.WARM });
    expect(applyReport(newer, { report, observedMs: 100 })).toEqual(newer);
  });
});

describe('buildAgedReport', () => {
  it('reports a target as unreachable after 3 s without a successful probe', () => {
    const record = buildRecord(TargetState.WARM, 0);
    expect(buildAgedReport(record, 3_000).state).toEqual(TargetState.WARM);
    expect(buildAgedReport(record, 3_001).state).toEqual(TargetState.UNREACHABLE);
  });

  // Guards against responses to requests keeping a target routable that does not respond to probes.
  it('does not count request observations as successful probes', () => {
    const record = applyObservation(buildRecord(TargetState.WARM, 0), { vm: 'vm-1' }, 2_900);
    expect(buildAgedReport(record, 3_001).state).toEqual(TargetState.UNREACHABLE);
  });
});
