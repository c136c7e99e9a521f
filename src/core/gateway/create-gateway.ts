import { createAdvisories } from '../advisories/index.ts';
import {
  computeConnectionLimits,
  ConnectionKind,
  createConnections,
} from '../connections/index.ts';
import { createLeaderElection } from '../leader-election/index.ts';
import { ErrorOrigin } from '../errors/index.ts';
import type { Feed, FeedListener } from '../store-feed/index.ts';
import { computeFeedTiming, startFeed } from '../store-feed/index.ts';
import { createTargetMonitor } from '../fleet/index.ts';
import { startFormation } from '../formation/index.ts';
import { createRetryBudget, createTargetChooser, createTargetClient } from '../forwarding/index.ts';
import { createDemandMeter, createDemandView, createPlacementState } from '../placement/index.ts';
import { createQuarantine, NO_EVIDENCE } from '../quarantine/index.ts';
import { selectByRendezvous } from '../rendezvous/index.ts';
import type { PeerExchangeListener, PeerStatus } from '../peers/index.ts';
import { createPeerExchange, PeerState } from '../peers/index.ts';
import type { Daemon } from '../process/run-daemon.ts';
import type { ServiceSpec } from '../serving/index.ts';
import {
  BYTES_PER_MB,
  computeBudgetBytes,
  createMemoryBudget,
  createMemoryMeter,
  startMemoryMonitor,
} from '../memory/index.ts';
import { createEraTracker, createInstrumentedStore, StoreKind } from '../store/index.ts';
import { startGatewayDuties } from './gateway-duties.ts';
import { startGatewayScaling } from './gateway-scaling.ts';
import { startCallerServer } from './caller-server.ts';
import { reloadSettings } from './plan-reload.ts';
import type { RegistrationOptions } from './registration.ts';
import { registerGateway, restoreRegistration } from './registration.ts';
import { logReadiness } from './readiness-log.ts';
import { createRequestHandler } from './request-handler.ts';
import { buildHandoverState, handoverStateSchema, toNotices } from './handover-state.ts';
import { countGroups, countTargets } from './fleet-counts.ts';
import type { GaugeValues } from './gateway-metrics.ts';
import { createGatewayMetrics } from './gateway-metrics.ts';
import { createRequestLog } from './request-log.ts';
import { createGatewayDirectory } from './gateway-directory.ts';
import { buildOwnStatus } from './own-status.ts';
import type { GatewayDependencies, GatewayParameters } from './types.ts';
import { createStoreCopies } from './store-copies.ts';
import { createStoreView } from './store-view.ts';

/** Pause of the leader after a watch that returned events; short because it acts on them. */
const LEADER_PAUSE_MS = 40;
/** Share of the time to learn of a leaving target for which other watchers pause. */
const WATCHER_PAUSE_SHARE = 0.1;
/** Maximum age of the copy of the targets on which the leader still acts. */
const MAX_TARGET_COPY_AGE_MS = 2_500;
/**
 * How long new requests are still accepted after a stop was requested. Callers use the gateway's
 * address until their directory response expires, 2 s after it was sent.
 */
const ACCEPT_AFTER_STOP_MS = 2_800;
/** How long before the end of the grace period the remaining requests are aborted. */
const ABORT_MARGIN_MS = 500;
const DRAIN_POLL_MS = 50;
/** Name of the lease whose holder is the leader; only the leader forms groups. */
const GROUP_LEASE_NAME = 'groups';

/** Starts a gateway; it becomes ready once it has read the configuration and the targets. */
export async function startGateway(
  initialSettings: GatewayParameters,
  dependencies: GatewayDependencies,
): Promise<Daemon> {
  const { timers, logger, errorReporter, wire, random } = dependencies;
  let settings = initialSettings;
  const { vmName } = settings;
  const incarnation = timers.getWallMs();
  const callersAddress = `${settings.callers.host}:${settings.callers.port}`;
  const peerAddress = `${settings.callers.host}:${settings.peerPort}`;
  const storeView = createStoreView(dependencies);
  const { fleet } = storeView;
  let stopRequestedMs: number | undefined;
  let havePeersReceivedRequests = false;
  let hasListedGateways = false;

  const listServices = (): readonly ServiceSpec[] =>
    storeView.getRoutingTable()?.configuration.services ?? [];
  const feeds = new Map<StoreKind, Feed>();
  const copies = createStoreCopies(feeds, timers);
  const metrics = createGatewayMetrics();
  const measureMemory = createMemoryMeter();
  const eras = createEraTracker(logger);
  const store = createInstrumentedStore(dependencies.store, metrics.countStoreCall, eras.observe);

  const monitor = createTargetMonitor({ timers });
  const peerExchange = createPeerExchange({
    vmName,
    availabilityZone: settings.availabilityZone,
    host: settings.callers.host,
    port: settings.peerPort,
    linkMbps: settings.linkMbps,
    timers,
    logger,
    errorReporter,
  });
  const leaderElection = createLeaderElection({
    name: GROUP_LEASE_NAME,
    vmName,
    incarnation,
    store,
    eras,
    timers,
    logger,
    isOtherLeaderKnown: () => peerExchange.listPeers().some(({ status }) => status.dutyTerm > 0),
    isCandidate: peerExchange.isHub,
    handoverStateSchema,
  });

  const duties = startGatewayDuties({
    ...dependencies,
    vmName,
    incarnation,
    settings: settings.duties,
    calls: dependencies.dutyCalls,
    store,
    getTerm: leaderElection.getTerm,
    countWindows: metrics.countUsageWindows,
  });

  errorReporter.subscribe((origin) => {
    metrics.countUnexpectedError(origin);
    // The state of the groups may be inconsistent; the next leader rebuilds it from the entries.
    if (origin === ErrorOrigin.Process) void leaderElection.release();
  });

  const isLeader = (): boolean => leaderElection.getTerm() > 0;
  const isWatcher = (): boolean => isLeader() || peerExchange.isWatcher();
  const startKindFeed = (
    kind: StoreKind,
    listener: FeedListener,
    boundMs: number,
    getPauseMs: () => number,
  ): Feed => {
    const feed = startFeed({
      kind,
      store,
      timers,
      logger,
      errorReporter,
      listener,
      timing: computeFeedTiming(boundMs),
      eras,
      // The other kinds fit into one page.
      isListedStale: kind === StoreKind.Targets,
      getPauseMs,
      isWatcher,
    });
    feeds.set(kind, feed);
    return feed;
  };
  const getTargetPauseMs = (): number =>
    isLeader() ? LEADER_PAUSE_MS : settings.leavingBoundMs * WATCHER_PAUSE_SHARE;
  startKindFeed(
    StoreKind.Targets,
    storeView.targetListener,
    settings.leavingBoundMs,
    getTargetPauseMs,
  );
  const getNoPauseMs = (): number => 0;
  startKindFeed(
    StoreKind.Configuration,
    storeView.configurationListener,
    settings.configurationBoundMs,
    getNoPauseMs,
  );
  startKindFeed(
    StoreKind.Evacuations,
    storeView.evacuationListener,
    settings.evacuationBoundMs,
    getNoPauseMs,
  );

  const connectionLimits = computeConnectionLimits(settings.maxDescriptors);
  const connections = createConnections({
    limits: connectionLimits,
    timers,
    logger,
    handleRemoval: metrics.countConnectionRemoval,
  });
  const client = createTargetClient(wire, timers, {
    maxConnections: connectionLimits[ConnectionKind.Targets],
  });
  connections.setCounter(ConnectionKind.Targets, client.countConnections);
  const { countGateways, getPosition } = peerExchange;
  const requestLog = createRequestLog(logger, timers, metrics);
  const advisories = createAdvisories({
    timers,
    fleet,
    getFleetMs: peerExchange.getFleetMs,
    getPosition,
    handleLimit: requestLog.recordLimit,
    handlePause: requestLog.recordPause,
    handleLeaving: (target) => logger.info('a target says that it is leaving', { target }),
    sendNow: peerExchange.sendNow,
  });
  const placement = createPlacementState(timers);
  const demandMeter = createDemandMeter(timers);
  const { getDemand, getRequestsPerSecond, setOtherDemands } = createDemandView(
    demandMeter,
    placement.serviceTimes,
  );
  const chooser = createTargetChooser({
    timers,
    fleet,
    monitor,
    advisories,
    isZoneEvacuated: storeView.isZoneEvacuated,
    getPosition,
    getRequestsPerSecond,
    random,
  });
  const budget = createRetryBudget({
    timers,
    getRatio: () => settings.retryRatio,
    getExtraRetries: () => settings.retrySlack,
    windowMs: settings.retryWindowMs,
    countGateways,
  });
  const quarantine = createQuarantine({
    timers,
    probeListener: client.probeListener,
    isTrialOwner(key) {
      const peers = peerExchange.listPeers().map(({ status }) => status.vmName);
      return selectByRendezvous(key, [vmName, ...peers], 1)[0] === vmName;
    },
    handleCrash: requestLog.recordCrash,
    handleChange: requestLog.recordQuarantine,
    sendNow: peerExchange.sendNow,
  });
  const memoryBudget = createMemoryBudget(computeBudgetBytes(settings.memoryLimitBytes));
  const handler = createRequestHandler({
    requestLog,
    getRoutingTable: storeView.getRoutingTable,
    recordBegin: duties.recordBegin,
    isConfigurationCurrent: () =>
      copies.isCurrent(StoreKind.Configuration, settings.configurationBoundMs),
    isRefusing: () =>
      stopRequestedMs !== undefined &&
      timers.getMonotonicMs() - stopRequestedMs > ACCEPT_AFTER_STOP_MS,
    forwardingDependencies: {
      timers,
      wire,
      client,
      monitor,
      chooser,
      random,
      budget,
      recordRetry: requestLog.recordRetry,
      recordDisplacement: requestLog.recordDisplacement,
      countGateways,
      ...placement,
      demandMeter,
      quarantine,
      advisories,
    },
  });

  const leaderView = {
    timers,
    logger,
    fleet,
    listServices,
    hasPredecessor: leaderElection.hasPredecessor,
    isTargetCopyFresh: () =>
      storeView.areTargetsCurrent() && copies.isCurrent(StoreKind.Targets, MAX_TARGET_COPY_AGE_MS),
    isZoneEvacuated: storeView.isZoneEvacuated,
    getDemand,
  };
  const stopScaling = startGatewayScaling({
    ...leaderView,
    duties,
    settings: settings.duties,
    getToleratedZones: () => settings.toleratedZones ?? 0,
    countScaleOrder: metrics.countScaleOrder,
  });
  const formation = startFormation({
    ...leaderView,
    control: dependencies.control,
    getTerm: leaderElection.getTerm,
    isInitialFormationOver: () =>
      !settings.isFirstStart || havePeersReceivedRequests || handler.hasReceivedRequests(),
    countInFlight: monitor.countInFlight,
    hasRequestsOfOtherGateways: monitor.hasRequestsOfOtherGateways,
    stallMs: settings.stallMs,
  });
  monitor.onSuspect((targetId, reason) => {
    logger.warn('a target is suspect', { target: targetId, reason });
    formation.handleSuspect(targetId);
    peerExchange.sendNow();
  });

  /** Lists what a gateway lacks that is not ready; without the number of the others, it would exceed shared limits. */
  const listMissing = (): string[] => [
    ...(storeView.getRoutingTable() === undefined ? ['configuration'] : []),
    ...(storeView.hasListedTargets() ? [] : ['targets']),
    ...(hasListedGateways ? [] : ['gateways']),
  ];
  const getState = (): PeerState => {
    if (stopRequestedMs !== undefined) return PeerState.Leaving;
    return listMissing().length === 0 ? PeerState.Ready : PeerState.Starting;
  };

  const getStatus = (): PeerStatus => ({
    ...buildOwnStatus(settings, { memory: measureMemory(), memoryBudget }),
    incarnation,
    callersAddress,
    peerAddress,
    inProgress: handler.countInProgress(),
    state: getState(),
    hasRequests: handler.hasReceivedRequests(),
    dutyTerm: leaderElection.getTerm(),
  });
  const peerListener: PeerExchangeListener = {
    getStatus,
    getLoadReport: () => ({
      loads: monitor.listLocalLoads(),
      suspectIds: monitor.listSuspects(),
      demands: demandMeter.listDemands(),
    }),
    getEvidence: quarantine.buildEvidence,
    takeAdvisories: advisories.takeNotices,
    getProgress: (recentMs) =>
      [...feeds.values()].flatMap((feed) => feed.getProgress(recentMs) ?? []),
    handleStatus(status) {
      havePeersReceivedRequests ||= status.hasRequests;
    },
    handleLoadReport({ loads, demands }) {
      monitor.setOtherGatewayLoads(loads);
      setOtherDemands(demands);
    },
    handleSuspects(targetIds) {
      for (const id of targetIds) {
        monitor.markSuspectByOtherGateway(id);
        formation.handleSuspect(id);
      }
    },
    handleEvidence: quarantine.receiveEvidence,
    handleAdvisories: advisories.receiveNotices,
    takeUsage: duties.takeUsage,
    handleUsage: duties.handleUsage,
    handleProgress: (progress, delayMs) =>
      feeds.get(progress.kind)?.applyProgress(progress, delayMs),
  };
  await dependencies.waitForPort(peerAddress, () => peerExchange.start(peerListener));
  leaderElection.start({
    getHandoverState: () =>
      buildHandoverState(
        formation.listHeadLocations(),
        quarantine.buildEvidence().notices,
        timers.getWallMs(),
      ),
    handleElected(_term, handoverState) {
      formation.addHeadLocations(handoverState?.heads ?? []);
      const notices = handoverState && toNotices(handoverState, timers.getWallMs());
      quarantine.receiveEvidence({ ...NO_EVIDENCE, notices: notices ?? [] });
      peerExchange.sendNow();
    },
    handleLost: peerExchange.sendNow,
  });
  const { isFirstStart } = settings;
  const registrationAbort = new AbortController();
  const registration: RegistrationOptions = {
    vmName,
    peerAddress,
    store,
    timers,
    logger,
    handleAddresses: (addresses) => {
      hasListedGateways = true;
      peerExchange.addRegisteredAddresses(addresses);
    },
    isFirstStart,
  };
  void registerGateway(registration, registrationAbort.signal);
  eras.subscribe(() => {
    void restoreRegistration(registration, registrationAbort.signal);
  });

  const getGaugeValues = (): GaugeValues => ({
    targets: countTargets(fleet, storeView.isZoneEvacuated),
    groups: countGroups(
      fleet,
      listServices().map(({ name }) => name),
    ),
    copyAges: copies.listAges(),
    gateways: countGateways(),
    inProgress: handler.countInProgress(),
    waiting: placement.lines.countWaiting(),
    workRatio: placement.work.getObservedRatio(),
    dutyTerm: leaderElection.getTerm(),
    dutiesHeldMs: duties.getHeldMs(),
    quarantinedSets: quarantine.countEntries(),
    limitedTargets: advisories.countLimits(),
    memory: measureMemory(),
    memoryLimitBytes: settings.memoryLimitBytes,
    heldMemory: memoryBudget,
    connections: connections.listCounts(),
    configurationVersion: storeView.getRoutingTable()?.version ?? 0,
  });

  const auxiliaryServers = await dependencies.startAuxiliaryServers({
    getDirectoryResponse: createGatewayDirectory({
      ...dependencies,
      peerExchange,
      metrics,
      getStatus,
      getSettings: () => settings,
    }).getResponse,
    isReady: () => getState() === PeerState.Ready,
    limitConnections: connections.limitServer,
    renderMetrics: () => metrics.renderMetrics(getGaugeValues()),
  });
  const server = await dependencies.waitForPort(callersAddress, () =>
    startCallerServer({
      host: settings.callers.host,
      port: settings.callers.port,
      wire,
      handler,
      budget: memoryBudget,
      errorReporter,
      timers,
      isLeaving: () => stopRequestedMs !== undefined,
      limitConnections: (one) => connections.limitServer(ConnectionKind.Callers, one),
    }),
  );
  storeView.onConfiguration(({ limits }) => server.setLimits(limits));
  const stopMemoryMonitor = startMemoryMonitor({
    timers,
    logger,
    limitBytes: settings.memoryLimitBytes,
    measure: measureMemory,
    getHeldCounts: () => ({
      heldMb: Math.round(memoryBudget.getHeldBytes() / BYTES_PER_MB),
      inProgress: handler.countInProgress(),
      unsentResponses: server.countUnsentResponses(),
    }),
  });
  logger.info('started', { vm: vmName, incarnation, callersAddress });
  void logReadiness({ timers, logger, listMissing, abortSignal: registrationAbort.signal });

  /** Waits for requests in progress; new ones are refused after `ACCEPT_AFTER_STOP_MS`. */
  const drain = async (startMs: number, endMs: number): Promise<void> => {
    while (timers.getMonotonicMs() < endMs) {
      const isAccepting = timers.getMonotonicMs() - startMs <= ACCEPT_AFTER_STOP_MS;
      if (!isAccepting && handler.countInProgress() === 0) return;
      await timers.waitFor(DRAIN_POLL_MS);
    }
  };

  return {
    reload() {
      settings = reloadSettings(settings, dependencies.readSettings, logger);
    },
    async stop() {
      const startMs = timers.getMonotonicMs();
      stopRequestedMs = startMs;
      peerExchange.sendNow();
      registrationAbort.abort();
      formation.stop();
      stopScaling();
      await leaderElection.release();
      leaderElection.stop();
      const endMs = startMs + settings.graceMs - ABORT_MARGIN_MS;
      await drain(startMs, endMs);
      logger.info('closing the connections of callers', {
        unsentResponses: server.countUnsentResponses(),
        sinceStopMs: Math.round(timers.getMonotonicMs() - startMs),
      });
      await server.close(Math.max(0, endMs - timers.getMonotonicMs()));
      feeds.forEach((feed) => feed.stop());
      monitor.stop();
      advisories.stop();
      peerExchange.stop();
      metrics.stop();
      stopMemoryMonitor();
      await Promise.all([duties.stop(), auxiliaryServers.close(), client.close(), store.close()]);
    },
  };
}
