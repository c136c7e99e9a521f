import { z } from 'zod';
import { startDuty } from '../duty/index.ts';
import { startFeed } from '../feed/index.ts';
import { createFleet, createTargetMonitor } from '../fleet/index.ts';
import type { Target } from '../fleet/index.ts';
import { headNoteSchema, startFormation } from '../formation/index.ts';
import type { EngineControl } from '../formation/index.ts';
import { createRetryBudget, createTargetChooser, createTargetClient } from '../forwarding/index.ts';
import type { WireFormat } from '../forwarding/index.ts';
import type { Logger } from '../logs/index.ts';
import { PeerState, startPeers } from '../peers/index.ts';
import type { PeerStatus } from '../peers/index.ts';
import type { Daemon } from '../process/run-daemon.ts';
import type { ServiceSpec, ServingConfiguration } from '../serving/index.ts';
import { StoreFailure, StoreKind } from '../store/index.ts';
import type { StoreClient, StoreObject } from '../store/index.ts';
import type { TimerService } from '../timers/index.ts';
import { startCallerServer } from './caller-server.ts';
import { createRequestHandler } from './request-handler.ts';
import { createRequestLog } from './request-log.ts';
import { buildRoutingTable } from './routing-table.ts';
import type { RoutingTable } from './routing-table.ts';

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Settings that the gateway's parts need. */
export interface GatewayParameters {
  vmName: string;
  availabilityZone: string;
  callers: ListenAddress;
  peerPort: number;
  graceMs: number;
  retryRatio: number;
  retrySlack: number;
  retryWindowMs: number;
  stallMs: number;
  maxDirectoryTtlMs: number;
  isFirstStart: boolean;
}

/** Addresses for callers, and how long they may rely on them. */
export interface DirectoryAnswer {
  callersAddresses: string[];
  ttlMs: number;
}

/** What the pages beside the callers' interface show. */
export interface GatewayPages {
  getDirectoryAnswer(): DirectoryAnswer | undefined;
  isReady(): boolean;
  renderMetrics(): string;
}

/** What the gateway needs from outside; the platform's adapter provides the rest of it. */
export interface GatewayDependencies {
  timers: TimerService;
  logger: Logger;
  store: StoreClient;
  control: EngineControl;
  wire: WireFormat;
  decodeConfiguration(spec: unknown): { value: ServingConfiguration } | { problem: string };
  decodeTarget(object: StoreObject, nowMs: number): Target | undefined;
  startPages(pages: GatewayPages): Promise<{ close(): Promise<void> }>;
  random(): number;
}

/** Longest wait of a watch on entries of targets; the age at which the copy is confirmed. */
const TARGET_WATCH_MS = 1_000;
/**
 * Longest wait of a watch on what changes rarely. A connection that went silent shows at its end,
 * which leaves time within the 5 s that an evacuation may take.
 */
const RARE_WATCH_MS = 2_500;
/** Pause between watches with events, for the holder of the duty and for others. */
const HOLDER_PAUSE_MS = 40;
const OTHER_PAUSE_MS = 150;
/** Age of the copy of entries up to which the holder acts on it. */
const FRESH_MS = 2_500;
/** Lifetime of a directory answer; some callers keep it three times as long. */
const DIRECTORY_TTL_MS = 2_000;
/** After a stop is asked for, new requests are taken for this long. */
const TAKE_AFTER_STOP_MS = 2_800;
/** Time before the end of the grace period at which what is left is broken off. */
const GRACE_MARGIN_MS = 500;
const STOP_LOOK_MS = 50;
const GROUP_DUTY = 'groups';
/** Silence of the holder after which other gateways look at the duty's object. */
const MAX_ADDRESSES = 64;

/** Starts a gateway; it serves as soon as it knows the configuration and the targets. */
export async function startGateway(
  settings: GatewayParameters,
  dependencies: GatewayDependencies,
): Promise<Daemon> {
  const { timers, logger, store, wire, random } = dependencies;
  const { vmName } = settings;
  const incarnation = timers.getWallMs();
  const callersAddress = `${settings.callers.host}:${settings.callers.port}`;
  const peerAddress = `${settings.callers.host}:${settings.peerPort}`;
  const fleet = createFleet();
  const zonesOut = new Set<string>();
  let table: RoutingTable | undefined;
  let hasTargets = false;
  let stopSinceMs: number | undefined;

  const monitor = createTargetMonitor({
    timers,
    handleSuspect(targetId, reason) {
      logger.warn('a target is suspect', { target: targetId, reason });
      formation.handleSuspect(targetId);
      peers.sendNow();
    },
  });
  const client = createTargetClient(wire, timers);
  const isZoneOut = (availabilityZone: string): boolean => zonesOut.has(availabilityZone);
  const countGateways = (): number => peers.countGateways();
  const chooser = createTargetChooser({ timers, fleet, monitor, isZoneOut, countGateways, random });
  const log = createRequestLog(logger, timers);
  const handler = createRequestHandler({
    log,
    getTable: () => table,
    isRefusing: () =>
      stopSinceMs !== undefined && timers.getMonotonicMs() - stopSinceMs > TAKE_AFTER_STOP_MS,
    services: {
      timers,
      wire,
      client,
      fleet,
      monitor,
      chooser,
      random,
      budget: createRetryBudget({
        timers,
        ratio: settings.retryRatio,
        slack: settings.retrySlack,
        windowMs: settings.retryWindowMs,
        countGateways,
      }),
      recordRetry: log.recordRetry,
    },
  });

  const getState = (): PeerState => {
    if (stopSinceMs !== undefined) return PeerState.Leaving;
    return table !== undefined && hasTargets ? PeerState.Ready : PeerState.Starting;
  };

  const getStatus = (): PeerStatus => ({
    vmName,
    incarnation,
    callersAddress,
    peerAddress,
    state: getState(),
    hasRequests: handler.hasRequests(),
    dutyTerm: duty.getTerm(),
    loads: monitor.listOwnLoads(),
    suspectIds: monitor.listSuspects(),
  });

  let hasPeerRequests = false;
  const peers = await startPeers({
    vmName,
    host: settings.callers.host,
    port: settings.peerPort,
    timers,
    logger,
    getStatus,
    handleStatus(status) {
      hasPeerRequests ||= status.hasRequests;
      // Requests that wait at a silent target are no sign of its life.
      const silentIds = new Set(status.suspectIds);
      const loads = status.loads.filter(({ targetId }) => !silentIds.has(targetId));
      monitor.setPeerLoads(status.vmName, loads);
      status.suspectIds.forEach((id) => {
        monitor.markSuspectByPeer(id);
        formation.handleSuspect(id);
      });
    },
    handleLost: (status) => monitor.removePeer(status.vmName),
  });

  const duty = startDuty({
    name: GROUP_DUTY,
    vmName,
    incarnation,
    store,
    timers,
    logger,
    isHolderHeard: () => peers.listPeers().some(({ status }) => status.dutyTerm > 0),
    getNotes: () => formation.listHeadNotes(),
    notesSchema: z.array(headNoteSchema),
    handleTaken(_term, notes) {
      formation.addHeadNotes(notes ?? []);
      peers.sendNow();
    },
    handleLost: () => peers.sendNow(),
  });

  const applyConfiguration = (object: StoreObject): void => {
    const decoded = dependencies.decodeConfiguration(object.spec);
    if ('problem' in decoded) {
      logger.error('a configuration cannot be read', { problem: decoded.problem });
      return;
    }
    if (table !== undefined && decoded.value.version <= table.version) return;
    table = buildRoutingTable(decoded.value);
    logger.info('a configuration is in force', {
      version: table.version,
      revision: object.revision,
      routes: decoded.value.routes.length,
    });
  };

  const applyTarget = (object: StoreObject): void => {
    const target = dependencies.decodeTarget(object, timers.getMonotonicMs());
    if (target === undefined) {
      logger.warn('an entry names no target', { entry: object.name });
      fleet.removeTarget(object.name);
      return;
    }
    const known = fleet.findTarget(target.id);
    if (known === undefined) logger.info('found a target', describeTarget(target));
    else if (!known.isDraining && target.isDraining) {
      logger.info('a target is leaving', describeTarget(target));
    }
    fleet.setTarget(target);
  };

  const configurationFeed = startFeed({
    kind: StoreKind.Configuration,
    store,
    timers,
    logger,
    waitMs: RARE_WATCH_MS,
    getPauseMs: () => 0,
    listener: {
      handleList: (objects) => objects.forEach(applyConfiguration),
      handleObject: applyConfiguration,
      handleDelete: () => undefined,
    },
  });
  const evacuationFeed = startFeed({
    kind: StoreKind.Evacuations,
    store,
    timers,
    logger,
    waitMs: RARE_WATCH_MS,
    getPauseMs: () => 0,
    listener: {
      handleList(objects) {
        zonesOut.clear();
        objects.forEach(({ name }) => zonesOut.add(name));
      },
      handleObject({ name }) {
        zonesOut.add(name);
        logger.info('a zone is taken out', { zone: name });
      },
      handleDelete({ name }) {
        zonesOut.delete(name);
        logger.info('a zone is back', { zone: name });
      },
    },
  });
  const targetFeed = startFeed({
    kind: StoreKind.Targets,
    store,
    timers,
    logger,
    waitMs: TARGET_WATCH_MS,
    getPauseMs: () => (duty.getTerm() > 0 ? HOLDER_PAUSE_MS : OTHER_PAUSE_MS),
    listener: {
      handleList(objects) {
        const names = new Set(objects.map(({ name }) => name));
        for (const { id } of [...fleet.listAllTargets()]) {
          if (!names.has(id)) fleet.removeTarget(id);
        }
        objects.forEach(applyTarget);
        hasTargets = true;
      },
      handleObject: applyTarget,
      handleDelete({ name }) {
        logger.info('a target is gone', { target: name });
        fleet.removeTarget(name);
      },
    },
  });

  const formation = startFormation({
    timers,
    logger,
    fleet,
    control: dependencies.control,
    listEngineServices: (): ServiceSpec[] => table?.configuration.services ?? [],
    getTerm: () => duty.getTerm(),
    isViewFresh: () =>
      timers.getMonotonicMs() - (targetFeed.getConfirmedMs() ?? -Infinity) < FRESH_MS,
    hasTraffic: () => !settings.isFirstStart || hasPeerRequests || handler.hasRequests(),
    isZoneOut,
    countInFlight: monitor.countInFlight,
    isServingElsewhere: (targetId) => monitor.hasPeerWork(targetId),
    stallMs: settings.stallMs,
  });

  const registration = { address: peerAddress };
  const register = async (): Promise<void> => {
    const created = await store.createObject(StoreKind.Gateways, vmName, registration);
    if (created.kind === StoreFailure.Conflict) {
      const known = await store.fetchObject(StoreKind.Gateways, vmName);
      if (known.kind === 'ok' && readPeerAddress(known.value) !== peerAddress) {
        const { revision } = known.value;
        await store.replaceObject(StoreKind.Gateways, vmName, revision, registration);
      }
    }
    const list = await store.listObjects(StoreKind.Gateways);
    if (list.kind !== 'ok') throw new Error(list.problem);
    list.value.objects.forEach((object) => {
      const address = readPeerAddress(object);
      if (address !== undefined) peers.addAddress(address);
    });
    peers.sendNow();
  };
  const registerRepeatedly = async (): Promise<void> => {
    for (;;) {
      try {
        await register();
        return;
      } catch (error) {
        logger.warn('registration failed and is tried again', { problem: String(error) });
        await timers.waitFor(REGISTER_PERIOD_MS);
      }
    }
  };
  void registerRepeatedly();

  const getDirectoryAnswer = (): DirectoryAnswer | undefined => {
    const own = getState() === PeerState.Ready ? [callersAddress] : [];
    const others = peers
      .listPeers()
      .filter(({ status }) => status.state === PeerState.Ready)
      .map(({ status }) => status.callersAddress);
    const callersAddresses = [...own, ...others].slice(0, MAX_ADDRESSES);
    if (callersAddresses.length === 0) return undefined;
    return { callersAddresses, ttlMs: Math.min(DIRECTORY_TTL_MS, settings.maxDirectoryTtlMs) };
  };

  const pages = await dependencies.startPages({
    getDirectoryAnswer,
    isReady: () => getState() === PeerState.Ready,
    renderMetrics: () =>
      log
        .listCounts()
        .map(
          ({ outcome, kind, reason, count }) =>
            `clementinefork_requests_total{outcome="${outcome}",kind="${kind}",reason="${reason}"} ${count}\n`,
        )
        .join(''),
  });
  const server = await startCallerServer({
    host: settings.callers.host,
    port: settings.callers.port,
    wire,
    handler,
    isLeaving: () => stopSinceMs !== undefined,
  });
  logger.info('started', { vm: vmName, incarnation, callersAddress });

  const stop = async (): Promise<void> => {
    const startMs = timers.getMonotonicMs();
    stopSinceMs = startMs;
    peers.sendNow();
    formation.stop();
    await duty.release();
    duty.stop();
    const endMs = startMs + settings.graceMs - GRACE_MARGIN_MS;
    while (timers.getMonotonicMs() < endMs) {
      const isTaking = timers.getMonotonicMs() - startMs <= TAKE_AFTER_STOP_MS;
      if (!isTaking && handler.countInProgress() === 0) break;
      await timers.waitFor(STOP_LOOK_MS);
    }
    [configurationFeed, evacuationFeed, targetFeed].forEach((feed) => feed.stop());
    monitor.stop();
    peers.stop();
    await Promise.all([server.close(), pages.close(), client.close(), store.close()]);
  };
  return { stop };
}

/** Time between tries to register. */
const REGISTER_PERIOD_MS = 500;

function describeTarget(target: Target): Record<string, string | number> {
  return {
    target: target.id,
    service: target.service,
    address: target.address,
    zone: target.availabilityZone,
    domain: target.fabricDomain,
  };
}

function readPeerAddress(object: StoreObject): string | undefined {
  const { spec } = object;
  if (typeof spec !== 'object' || spec === null || !('address' in spec)) return undefined;
  return typeof spec.address === 'string' ? spec.address : undefined;
}
