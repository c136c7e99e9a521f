import type { Allocation } from '../allocation/index.ts';
import { isLeaseRenewal } from '../documents/index.ts';
import type { TimelineEvent } from '../events/index.ts';
import { formatProblem } from '../errors/index.ts';
import { listCandidateDomains } from './candidates.ts';
import type { DomainTask } from './domain-task.ts';
import { createDomainTask } from './domain-task.ts';
import type { ControllerSettings } from './settings.ts';
import { createSharedWorld } from './shared-world.ts';
import type {
  Controller,
  ControllerContext,
  ControllerPorts,
  ControllerReport,
  VersionedAllocation,
} from './types.ts';

/** Maximum number of events buffered for the entry daemon; the oldest are dropped beyond it. */
const MAX_UNSENT_EVENTS = 4_096;
const MAX_EVENTS_PER_REPORT = 500;

/** Creates and starts a controller; `holder` must be unique for each start of the process. */
export function createController(
  holder: string,
  settings: ControllerSettings,
  ports: ControllerPorts,
): Controller {
  const context: ControllerContext = { ...ports, settings, holder };
  const { timers, recorder, daemon, logger } = ports;
  const shared = createSharedWorld(context);
  const tasks = new Map<string, DomainTask>();
  const reportedAllocations = new Map<string, Allocation>();
  const running = new Set<Promise<void>>();
  let unsentEvents: TimelineEvent[] = [];
  let liveDaemons: string[] = [];
  let reportedMs = timers.getMonotonicMs();
  let isStopping = false;

  const unsubscribeEvents = recorder.subscribe((event) => {
    unsentEvents.push(event);
    if (unsentEvents.length > MAX_UNSENT_EVENTS) unsentEvents.shift();
  });

  const listHeldDomains = (): string[] =>
    [...tasks].filter(([, task]) => task.isHeld()).map(([name]) => name);

  const isDaemonAnswering = (): boolean =>
    timers.getMonotonicMs() - reportedMs < settings.reportTimeoutMs;

  const listCandidates = (): Set<string> => {
    if (isStopping || !isDaemonAnswering()) return new Set();
    const { candidates } = settings.lease;
    const domains = shared.listDomains();
    return new Set(listCandidateDomains(domains, liveDaemons, settings.vm, candidates));
  };

  const getTask = (fabricDomain: string): DomainTask => {
    const known = tasks.get(fabricDomain);
    if (known !== undefined) return known;
    const created = createDomainTask(context, shared, fabricDomain);
    tasks.set(fabricDomain, created);
    return created;
  };

  /** Returns a function that runs the job unless it is still running; `stop` waits for the job. */
  const createExclusive = (work: () => Promise<void>): (() => void) => {
    let isRunning = false;
    return () => {
      if (isRunning) return;
      isRunning = true;
      const run = work()
        .catch((error: unknown) =>
          logger.error('controller job failed', { problem: formatProblem(error) }),
        )
        .finally(() => {
          isRunning = false;
          running.delete(run);
        });
      running.add(run);
    };
  };

  const runDomainStep = async (task: DomainTask, mayTake: boolean): Promise<void> => {
    // Without the entry daemon on its VM, a holder cannot have slots granted, so it releases the
    // lease to another controller.
    if (task.isHeld() && !isDaemonAnswering()) await task.release();
    else await task.runStep(mayTake);
  };

  const stepsByDomain = new Map<string, (mayTake: boolean) => void>();
  const getStep = (fabricDomain: string): ((mayTake: boolean) => void) => {
    const known = stepsByDomain.get(fabricDomain);
    if (known !== undefined) return known;
    let mayTakeNow = false;
    const start = createExclusive(() => runDomainStep(getTask(fabricDomain), mayTakeNow));
    const step = (mayTake: boolean): void => {
      mayTakeNow = mayTake;
      start();
    };
    stepsByDomain.set(fabricDomain, step);
    return step;
  };

  const readShared = createExclusive(() => shared.read(listHeldDomains().length > 0));

  const runSteps = (): void => {
    readShared();
    const candidates = listCandidates();
    const domains = new Set([...candidates, ...listHeldDomains()]);
    domains.forEach((domain) => getStep(domain)(candidates.has(domain)));
  };

  const listNewAllocations = (): VersionedAllocation[] =>
    [...tasks].flatMap(([name, task]) => {
      const held = task.getAllocation();
      if (held === undefined) return [];
      const reported = reportedAllocations.get(name);
      // Daemons do not use the renewal counter, and every reported change spreads to all of them.
      const isNew = reported === undefined || !isLeaseRenewal(reported, held.allocation);
      return isNew ? [held] : [];
    });

  const sendReport = async (): Promise<void> => {
    const allocations = listNewAllocations();
    const events = unsentEvents.slice(0, MAX_EVENTS_PER_REPORT);
    const leases = [...tasks.values()].flatMap((task) => task.buildReport() ?? []);
    const report: ControllerReport = { leases, allocations, events };
    liveDaemons = await daemon.sendReport(report);
    reportedMs = timers.getMonotonicMs();
    allocations.forEach(({ allocation }) =>
      reportedAllocations.set(allocation.fabricDomain, allocation),
    );
    unsentEvents = unsentEvents.filter((event) => !events.includes(event));
  };

  const startReport = createExclusive(sendReport);
  const unsubscribes = [
    unsubscribeEvents,
    timers.subscribe(settings.planning.stepMs, runSteps),
    timers.subscribe(settings.reportMs, startReport),
  ];
  startReport();
  readShared();

  return {
    listHeldDomains,
    async stop() {
      isStopping = true;
      unsubscribes.slice(1).forEach((unsubscribe) => unsubscribe());
      await Promise.allSettled([...running]);
      await Promise.allSettled([...tasks.values()].map((task) => task.release()));
      await sendReport().catch((error: unknown) =>
        logger.warn('final report to the entry daemon failed', { problem: formatProblem(error) }),
      );
      unsubscribeEvents();
    },
  };
}
