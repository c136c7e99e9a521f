import { command, flag } from 'cmd-ts';
import { fetchConfiguration } from '../../declarations/index.ts';
import { createError, ErrorKind, isServingError } from '../../errors/index.ts';
import { COMMON_ARGUMENTS, createNumberOption } from '../arguments.ts';
import { DEFAULT_WAIT_S, MS_PER_S, WAIT_PERIOD_MS } from '../consts.ts';
import type { OperatorContext } from '../context.ts';
import { runWithContext } from '../context.ts';
import type { ConvergenceReport } from '../convergence.ts';
import { ChangeState, computeConvergence } from '../convergence.ts';
import { fetchDaemonStatuses } from '../daemons.ts';
import { formatConvergence } from '../format-status.ts';
import { printResult } from '../output.ts';
import type { OperatorIo } from '../types.ts';

async function fetchConvergence(context: OperatorContext): Promise<ConvergenceReport> {
  const { platform, links, settings } = context;
  // Reads the version before asking the daemons: a daemon that gets a newer version in between
  // still counts as current.
  const currentConfiguration = await fetchConfiguration(platform).catch((error: unknown) => {
    if (!isServingError(error, ErrorKind.PlatformUnavailable)) throw error;
    return undefined;
  });
  const vms = await platform.fetchVms().catch(() => undefined);
  const results = await fetchDaemonStatuses(links, settings.daemons);
  return computeConvergence({
    versionInForce: currentConfiguration?.version,
    vms,
    statusResults: results,
  });
}

async function waitForConvergence(
  context: OperatorContext,
  timeoutMs: number,
): Promise<ConvergenceReport> {
  const { timers } = context.io;
  const deadlineMs = timers.getMonotonicMs() + timeoutMs;
  for (;;) {
    const report = await fetchConvergence(context);
    const isLastAttempt = timers.getMonotonicMs() + WAIT_PERIOD_MS > deadlineMs;
    if (report.state === ChangeState.Settled || isLastAttempt) return report;
    await timers.waitFor(WAIT_PERIOD_MS);
  }
}

/** Creates the command that shows which daemons have the configuration in force. */
export function createStatusCommand(io: OperatorIo) {
  return command({
    name: 'status',
    description:
      'Ask every daemon for its configuration version and show whether a change has reached all of them. With --wait, exits with status 1 if it has not when the timeout expires.',
    args: {
      isWaiting: flag({
        long: 'wait',
        description: 'wait until every daemon has the version in force',
      }),
      timeout: createNumberOption('timeout', `seconds to wait; default ${DEFAULT_WAIT_S}`),
      ...COMMON_ARGUMENTS,
    },
    examples: [
      { description: 'Check which version every daemon has', command: 'clementinefork status' },
      {
        description: 'Wait up to 20 s until a change has reached every daemon',
        command: 'clementinefork status --wait --timeout 20',
      },
    ],
    handler: ({ settings, isJson, isWaiting, timeout }) =>
      runWithContext(io, settings, async (context) => {
        const timeoutMs = isWaiting ? (timeout ?? DEFAULT_WAIT_S) * MS_PER_S : 0;
        const report = await waitForConvergence(context, timeoutMs);
        printResult(io, isJson, report, formatConvergence(report));
        if (!isWaiting || report.state === ChangeState.Settled) return;
        throw createError(ErrorKind.ChangeHalfWay, {
          problem: `After ${timeoutMs / MS_PER_S} s, ${report.missing.length} daemons do not report version ${report.version}.`,
        });
      }),
  });
}
