import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { LogContext } from '../logs/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { createDirectory } from './create-directory.ts';
import type { DirectoryCandidate } from './types.ts';
import { DirectoryChoice } from './types.ts';

const OWN_ADDRESS = '10.0.0.0:80';
const MAX_TTL_MS = 1_500;

function buildCandidate(
  index: number,
  change: Partial<DirectoryCandidate> = {},
): DirectoryCandidate {
  return {
    callersAddress: `10.0.0.${index}:80`,
    availabilityZone: 'a',
    capacity: index === 0 ? 1_000 : 300,
    linkMbps: 20,
    inProgress: 3,
    memoryShare: 0.4,
    silentMs: 0,
    ...change,
  };
}

/** Starts a directory that answers a caller after each step of a second. */
function startSession(candidates: readonly DirectoryCandidate[]) {
  const timers = createManualTimers();
  const lines: LogContext[] = [];
  const answers: [DirectoryChoice, number][] = [];
  let listed = candidates;
  const directory = createDirectory({
    timers,
    logger: { info: (_message, context = {}) => lines.push(context) },
    random: () => 0.5,
    callersAddress: OWN_ADDRESS,
    listCandidates: () => listed,
    getRegion: () => 'r',
    getMaxTtlMs: () => MAX_TTL_MS,
    handleAnswer: (choice, names) => answers.push([choice, names]),
  });
  return {
    lines,
    answers,
    ask(next: readonly DirectoryCandidate[] = listed) {
      listed = next;
      timers.runFor(1_000);
      return directory.getResponse({ availabilityZone: 'a' });
    },
  };
}

describe('directory', () => {
  // Guards against an empty answer, which callers would keep.
  it('has no answer while no gateway is ready', () => {
    const { ask, answers } = startSession([]);
    expect(ask()).toEqual(undefined);
    expect(answers).toEqual([]);
  });

  it('states no lifetime above the one that callers respect', () => {
    const { ask, answers } = startSession([buildCandidate(1), buildCandidate(2)]);
    expect(ask()).toEqual({
      callersAddresses: ['10.0.0.1:80', '10.0.0.2:80'],
      ttlMs: MAX_TTL_MS,
    });
    expect(answers).toEqual([[DirectoryChoice.All, 2]]);
  });

  // Guards against a gateway that is named less and does not tell its operators why.
  it('logs once that its gateway is named less, and once that it is no more', () => {
    const others = [buildCandidate(1), buildCandidate(2)];
    const { ask, lines } = startSession([buildCandidate(0), ...others]);
    ask();
    ask();
    ask([buildCandidate(0, { memoryShare: 0.99 }), ...others]);
    ask();
    ask([buildCandidate(0), ...others]);
    expect(lines.map(({ choice, isNamedLess }) => ({ choice, isNamedLess }))).toEqual([
      { choice: DirectoryChoice.Weighted, isNamedLess: false },
      { choice: DirectoryChoice.Weighted, isNamedLess: true },
      { choice: DirectoryChoice.Weighted, isNamedLess: false },
    ]);
  });
});
