import { randomInt } from 'node:crypto';
import { command, flag, number, option, optional } from 'cmd-ts';
import { ExitStatus, runAndReportErrors, runProgram } from '../../core/process/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import { runSoak } from '../../stand-ins/soak/run-soak.ts';

const BUILD_FOLDER = 'dist';
const MAX_DRAWN_SEED = 1_000_000;

await runProgram(
  command({
    name: 'soak',
    description: 'Runs gateway processes under random faults and checks their guarantees.',
    args: {
      seed: option({
        type: optional(number),
        long: 'seed',
        description: 'first seed; default: drawn and printed',
      }),
      count: option({
        type: number,
        long: 'count',
        defaultValue: () => 1,
        description: 'number of consecutive seeds to run',
      }),
      durationMs: option({
        type: number,
        long: 'duration-ms',
        defaultValue: () => 12_000,
        description: 'duration of one run in milliseconds',
      }),
      gateways: option({
        type: number,
        long: 'gateways',
        defaultValue: () => 5,
        description: 'number of gateway processes',
      }),
      callers: option({
        type: number,
        long: 'callers',
        defaultValue: () => 30,
        description: 'number of callers, each with its own connections',
      }),
      deadlyShare: option({
        type: number,
        long: 'deadly-share',
        defaultValue: () => 0,
        description: 'share of the streams whose prompt crashes engines, from 0 to 1',
      }),
      limitedShare: option({
        type: number,
        long: 'limited-share',
        defaultValue: () => 0,
        description: 'share of the engines that limit their requests, from 0 to 1',
      }),
      isStoreRestored: flag({
        long: 'restored-store',
        description: 'let the store come back from an older copy, twice',
      }),
      isFaultFree: flag({
        long: 'fault-free',
        description: 'inject no faults, and check the bounds on deadly prompts and request limits',
      }),
      hasSlowPeers: flag({
        long: 'slow-peers',
        description: 'let callers and targets read and send slowly, and send signals in series',
      }),
      areEarlySignalsSent: flag({
        long: 'early-signals',
        description: 'with slow peers: send SIGHUP also before a program has set its handler',
      }),
      hasGroupFaults: flag({
        long: 'group-faults',
        description:
          'evacuate zones, cut engines from the store, delay orders, and pause and kill leaders',
      }),
      areEnginesHidden: flag({
        long: 'hidden-engines',
        description:
          'with group faults: cut engines also from the leader, while requests reach them',
      }),
      hasDuties: flag({
        long: 'duties',
        description: 'let the gateways report the usage of customers, and check the duties',
      }),
    },
    handler: ({ seed: givenSeed, count, ...size }) =>
      runAndReportErrors(async () => {
        const firstSeed = givenSeed ?? randomInt(MAX_DRAWN_SEED);
        if (givenSeed === undefined) process.stdout.write(`drew seed ${firstSeed}\n`);
        const timers = createTimerService();
        for (let seed = firstSeed; seed < firstSeed + count; seed++) {
          const result = await runSoak({ ...size, seed, timers, buildFolder: BUILD_FOLDER });
          const { violations, requests, answered, engineCrashes, workFolder } = result;
          const [peakMb, lateMs] = [result.peakMemoryMb, result.maxLoopDelayMs].map(Math.round);
          const outcome = violations.length === 0 ? 'no rule violated' : 'RULES VIOLATED';
          process.stdout.write(
            `seed ${seed}: ${outcome}, ${answered} of ${requests} answered, ${engineCrashes} engines crashed by requests, ${result.lateOrders} late orders, groups ${result.areGroupsOpen ? 'open' : 'NOT OPEN'} at the end, ${result.usageWindows} usage windows, ${peakMb} MB at most, soak late by ${lateMs} ms at most, ${workFolder}\n`,
          );
          if (violations.length === 0) continue;
          process.exitCode = ExitStatus.Failure;
          violations.forEach(({ rule, detail }) => process.stdout.write(`  ${rule}: ${detail}\n`));
          result.faults.forEach((fault) => process.stdout.write(`  fault at ${fault}\n`));
        }
      }),
  }),
);
