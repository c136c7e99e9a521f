import type { Allocation } from '../allocation/index.ts';
import { isLeaseRenewal } from '../documents/index.ts';
import type { TimelineEvent } from '../events/index.ts';
import { formatProblem } from '../errors/index.ts';
import { listCandidateDomains } from './candidates.ts';
import type { DomainController } from './domain-controller.ts';
import { createDomainController } from './domain-controller.ts';
import type { ControllerSettings } from './settings.ts';
import { createClusterCache } from './cluster-cache.ts';
import type {
  Controller,
  ControllerContext,
  ControllerDependencies,
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
  dependencies: ControllerDependencies,
): Controller {
  const context: ControllerContext = { ...dependencies, settings, holder };
  const { timers, recorder, daemon, logger } = dependencies;
  const clusterCache = createClusterCache(context);
  const domainControllers = new Map<string, DomainController>();
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
    [...domainControllers]
      .filter(([, domainController]) => domainController.isHeld())
      .map(([name]) => name);

  const isDaemonAnswering = (): boolean =>
    timers.getMonotonicMs() - reportedMs < settings.reportTimeoutMs;

  const listCandidates = (): Set<string> => {
    if (isStopping || !isDaemonAnswering()) return new Set();
    const { candidates } = settings.lease;
    const domains = clusterCache.listDomains();
    return new Set(listCandidateDomains(domains, liveDaemons, settings.vm, candidates));
  };

  const getDomainController = (fabricDomain: string): DomainController => {
    const known = domainControllers.get(fabricDomain);
    if (known !== undefined) return known;
    const created = createDomainController(context, clusterCache, fabricDomain);
    domainControllers.set(fabricDomain, created);
    return created;
  };

  /** Returns a function that runs the job unless it is still running; `stop` waits for the job. */
  const createNonOverlappingJob = (job: () => Promise<void>): (() => void) => {
    let isRunning = false;
    return () => {
      if (isRunning) return;
      isRunning = true;
      const run = job()
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

  const runDomainStep = async (
    domainController: DomainController,
    mayAcquire: boolean,
  ): Promise<void> => {
    // Without the entry daemon on its VM, a holder cannot have slots granted, so it releases the
    // lease to another controller.
    if (domainController.isHeld() && !isDaemonAnswering()) await domainController.release();
    else await domainController.runStep(mayAcquire);
  };

  const stepsByDomain = new Map<string, (mayAcquire: boolean) => void>();
  const getStep = (fabricDomain: string): ((mayAcquire: boolean) => void) => {
    const known = stepsByDomain.get(fabricDomain);
    if (known !== undefined) return known;
    let mayAcquireNow = false;
    const start = createNonOverlappingJob(() =>
      runDomainStep(getDomainController(fabricDomain), mayAcquireNow),
    );
    const step = (mayAcquire: boolean): void => {
      mayAcquireNow = mayAcquire;
      start();
    };
    stepsByDomain.set(fabricDomain, step);
    return step;
  };

  const readShared = createNonOverlappingJob(() => clusterCache.read(listHeldDomains().length > 0));

  const runSteps = (): void => {
    readShared();
    const candidates = listCandidates();
    const domains = new Set([...candidates, ...listHeldDomains()]);
    domains.forEach((domain) => getStep(domain)(candidates.has(domain)));
  };

  const listNewAllocations = (): VersionedAllocation[] =>
    [...domainControllers].flatMap(([name, domainController]) => {
      const held = domainController.getAllocation();
      if (held === undefined) return [];
      const reported = reportedAllocations.get(name);
      // Daemons do not use the renewal counter, and every reported change spreads to all of them.
      const isNew = reported === undefined || !isLeaseRenewal(reported, held.allocation);
      return isNew ? [held] : [];
    });

  const sendReport = async (): Promise<void> => {
    const allocations = listNewAllocations();
    const events = unsentEvents.slice(0, MAX_EVENTS_PER_REPORT);
    const leases = [...domainControllers.values()].flatMap(
      (domainController) => domainController.buildReport() ?? [],
    );
    const report: ControllerReport = { leases, allocations, events };
    liveDaemons = await daemon.sendReport(report);
    reportedMs = timers.getMonotonicMs();
    allocations.forEach(({ allocation }) =>
      reportedAllocations.set(allocation.fabricDomain, allocation),
    );
    unsentEvents = unsentEvents.filter((event) => !events.includes(event));
  };

  const startReport = createNonOverlappingJob(sendReport);
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
      await Promise.allSettled(
        [...domainControllers.values()].map((domainController) => domainController.release()),
      );
      await sendReport().catch((error: unknown) =>
        logger.warn('final report to the entry daemon failed', { problem: formatProblem(error) }),
      );
      unsubscribeEvents();
    },
  };
}
