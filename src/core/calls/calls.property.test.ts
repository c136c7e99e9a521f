import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { CallOutcome } from '../rpc/index.ts';
import type { CallResult } from '../rpc/index.ts';
import { buildCall, createCluster, ServiceFault } from './fixtures/create-cluster.ts';
import { PREFIX_LIFETIME_MS } from './index.ts';

const SEED = 20_261_204;
const DAEMONS = 3;
const IDS = 4;

enum Step {
  Send = 'send',
  Lookup = 'lookup',
  Restart = 'restart',
  Freeze = 'freeze',
  Unfreeze = 'thaw',
  ToggleResponseLoss = 'lose-answers',
  RemoveTargets = 'remove-targets',
  AddTargets = 'add-targets',
  Expire = 'expire',
}

const stepsArbitrary = fc.array(
  fc.record({
    step: fc.oneof(
      { weight: 6, arbitrary: fc.constant(Step.Send) },
      { weight: 4, arbitrary: fc.constant(Step.Lookup) },
      { weight: 4, arbitrary: fc.constantFrom(...Object.values(Step)) },
    ),
    daemon: fc.nat(DAEMONS - 1),
    id: fc.nat(IDS - 1),
    waitMs: fc.constantFrom(0, 1, 2, 5, 30, 100, 2_000, 9_000),
  }),
  { maxLength: 25 },
);

const faultsArbitrary = fc.array(fc.constantFrom(...Object.values(ServiceFault)), {
  maxLength: 10,
});

interface ReceivedResult {
  id: string;
  result: CallResult;
  /** Number of times the call had run when the caller received the result. */
  runs: number;
}

describe('non-idempotent calls under random faults', () => {
  // Guards against any order of duplicates, daemon crashes and lost responses that runs a call
  // twice, or that reports not-run for a call that ran before or runs later.
  it('runs a call at most once, and reports not-run only for calls that never run', async () => {
    console.log(`fast-check seed ${SEED}`);
    let totalRuns = 0;
    let notRunCount = 0;
    await fc.assert(
      fc.asyncProperty(
        stepsArbitrary,
        faultsArbitrary,
        fc.constantFrom(2, 1_000),
        async (steps, faults, maxRecords) => {
          const cluster = createCluster({ maxRecords });
          const { timers, getDaemon } = cluster;
          cluster.faults.push(...faults);
          const ids = Array.from({ length: IDS }, (_, index) => {
            const { ledger } = getDaemon(index % DAEMONS);
            return `${ledger.createPrefix()}${index}`;
          });
          const receivedResults: ReceivedResult[] = [];
          const recordResult = (id: string, promise: Promise<CallResult>): void => {
            void promise.then((result) => {
              const runs = cluster.runs.filter((run) => run === id).length;
              receivedResults.push({ id, result, runs });
            });
          };
          for (const { step, daemon: index, id: idIndex, waitMs } of steps) {
            const daemon = getDaemon(index);
            const id = ids[idIndex] ?? '';
            if (step === Step.Send) recordResult(id, daemon.router.runCall(buildCall(id)));
            if (step === Step.Lookup) recordResult(id, daemon.router.lookUpCall(id));
            if (step === Step.Restart) cluster.restartDaemon(index);
            if (step === Step.Freeze) daemon.isFrozen = true;
            if (step === Step.Unfreeze) daemon.isFrozen = false;
            if (step === Step.ToggleResponseLoss) daemon.losesResponses = !daemon.losesResponses;
            if (step === Step.RemoveTargets) cluster.setTargets([]);
            if (step === Step.AddTargets) cluster.setTargets(['vm-1', 'vm-2']);
            if (step === Step.Expire) await timers.runForAsync(PREFIX_LIFETIME_MS, 100_000);
            await timers.runForAsync(waitMs, Math.max(1, waitMs / 4));
          }
          cluster.daemons.forEach((daemon) => {
            daemon.isFrozen = false;
          });
          // Sends a duplicate of every call after all other steps.
          cluster.setTargets(['vm-1', 'vm-2']);
          await timers.runForAsync(20_000, 200);
          ids.forEach((id, index) =>
            recordResult(id, getDaemon(index % DAEMONS).router.runCall(buildCall(id))),
          );
          await timers.runForAsync(20_000, 200);

          ids.forEach((id) => {
            const runs = cluster.runs.filter((run) => run === id).length;
            const results = receivedResults.filter((entry) => entry.id === id);
            const outcomes = results.map(({ result }) => result.outcome);
            expect(runs <= 1).toEqual(true);
            if (outcomes.includes(CallOutcome.NOT_RUN)) expect(runs).toEqual(0);
            results
              .filter(({ result }) => result.outcome === CallOutcome.DONE && result.status === 201)
              .forEach((entry) => expect(entry.runs).toEqual(1));
            totalRuns += runs;
            if (outcomes.includes(CallOutcome.NOT_RUN)) notRunCount++;
          });
        },
      ),
      { seed: SEED, numRuns: 300 },
    );
    // The property is only meaningful if the random sequences reach both outcomes often.
    expect([totalRuns > 100, notRunCount > 100]).toEqual([true, true]);
  });
});
