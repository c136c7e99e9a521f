import { createSocket } from 'node:dgram';
import type { AdvisoryNotices } from '../advisories/index.ts';
import { NO_NOTICES } from '../advisories/index.ts';
import type { GatewayUsage } from '../duties/index.ts';
import type { ErrorReporter } from '../errors/index.ts';
import { ErrorOrigin, formatProblem } from '../errors/index.ts';
import type { FeedProgress } from '../store-feed/index.ts';
import type { Logger } from '../logs/index.ts';
import type { PromptEvidence } from '../quarantine/index.ts';
import { NO_EVIDENCE } from '../quarantine/index.ts';
import type { Position } from '../placement/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { parseAddress } from './address.ts';
import { MAX_GATEWAYS } from './consts.ts';
import { createAddressBook } from './address-book.ts';
import { createDigestAggregator } from './digests.ts';
import type { FleetClock } from './fleet-clock.ts';
import { createFleetClock } from './fleet-clock.ts';
import { createPeerTable } from './peer-table.ts';
import { createPacketSender } from './packet-sender.ts';
import { decodePacket } from './packets.ts';
import type { Topology } from './topology.ts';
import { buildTopology } from './topology.ts';
import type { Peer, PeerDigest, PeerPacket, PeerStatus, PeerLoadReport } from './types.ts';

/** Options of the packet exchange between gateways. */
export interface PeerExchangeOptions {
  vmName: string;
  availabilityZone: string;
  host: string;
  port: number;
  /** Link of this VM in megabits a second; 0 if unknown. */
  linkMbps: number;
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe' | 'scheduleOnce'>;
  logger: Logger;
  errorReporter: ErrorReporter;
}

/** Supplies what is sent to the other gateways, and receives what they report. */
export interface PeerExchangeListener {
  getStatus(): PeerStatus;
  getLoadReport(): PeerLoadReport;
  getEvidence(): PromptEvidence;
  /** Takes what targets say for the next packet. */
  takeAdvisories(): AdvisoryNotices;
  /**
   * Takes the counts for the next packet; `isRelayed` selects the processes of other gateways whose
   * counts this one sends as well.
   */
  takeUsage(isRelayed: (vmName: string, incarnation: number) => boolean): GatewayUsage[];
  /** Progress of the store copies, with the changes of the last `recentMs`. */
  getProgress(recentMs: number): FeedProgress[];
  /** Called for each gateway whose status was received, directly or through a hub. */
  handleStatus(status: PeerStatus): void;
  /** Called each period with the combined loads and suspects of all other gateways. */
  handleLoadReport(loadReport: PeerLoadReport): void;
  /** Called at once with the suspects of a received packet. */
  handleSuspects(targetIds: readonly string[]): void;
  /** Called with the evidence of a packet; returns whether it contains news. */
  handleEvidence(evidence: PromptEvidence): boolean;
  /** Called with what targets say, as of a packet; returns whether it contains news. */
  handleAdvisories(advisories: AdvisoryNotices): boolean;
  /** Called with the counts of a packet. */
  handleUsage(usage: readonly GatewayUsage[]): void;
  /** Called with the progress of a packet that was under way for `delayMs`. */
  handleProgress(progress: FeedProgress, delayMs: number): void;
}

/** Exchanges state with the other gateways over UDP. */
export interface PeerExchange extends Pick<FleetClock, 'getFleetMs'> {
  /** Opens the socket and starts to send and receive; rejects if the port is in use. */
  start(listener: PeerExchangeListener): Promise<void>;
  /** Adds the addresses (`host:port`) of all gateways that are registered in the store. */
  addRegisteredAddresses(addresses: readonly string[]): void;
  /** Lists the other gateways that have not timed out. */
  listPeers(): Peer[];
  /** Counts the gateways that have not timed out, this one included. */
  countGateways(): number;
  /**
   * Returns the index of this gateway among those heard, sorted by zone and name, and the count of
   * all. Until all are heard, the count keeps a new gateway from taking what belongs to the others.
   */
  getPosition(): Position;
  /** Whether this gateway watches the store on behalf of others. */
  isWatcher(): boolean;
  /** Whether this gateway relays state between its zone and the other hubs; in a mesh, all do. */
  isHub(): boolean;
  /** Sends packets without waiting for the next period. */
  sendNow(): void;
  stop(): void;
}

/** Packet period in a mesh; it bounds the age of peer loads when a target is chosen. */
const MESH_PERIOD_MS = 120;
/**
 * Packet period with hubs; longer, to limit the packets of many gateways. Loads may be older, since
 * more targets share them.
 */
const HUB_PERIOD_MS = 250;
/** Number of packet periods for which store changes are repeated, because datagrams can be lost. */
const CHANGE_REPEAT_PERIODS = 2.5;
/** Longest time for which changes are repeated; shorter than the time for which they are kept. */
const MAX_REPEAT_MS = 1_900;
/** A gateway without a direct packet for this long is lost; about ten packets of a mesh. */
const DIRECT_TIMEOUT_MS = 1_200;
/**
 * A gateway that no hub has reported for this long is lost. With up to about 130 gateways, a hub
 * reports each one within 2 s, at 16 in each packet; with more, it takes longer.
 */
const RELAYED_TIMEOUT_MS = 4_500;
/**
 * A new gateway takes no role for this long unless it has heard half of the registered gateways: it
 * would count itself as the first of every zone that it has not heard.
 */
const SETTLE_MS = 3_000;
const SETTLED_SHARE = 0.5;
/** Minimum time between the last send and an immediate one. */
const MIN_SEND_GAP_MS = 30;

function formatPositionKey(gateway: Pick<PeerStatus, 'availabilityZone' | 'vmName'>): string {
  return `${gateway.availabilityZone}/${gateway.vmName}`;
}

/** Builds a packet for gateways that hear of the sender's loads through a hub. */
function buildUsagePacket(sender: PeerStatus, fleetMs: number, usage: GatewayUsage[]): PeerPacket {
  return {
    sender,
    loadReport: { loads: [], suspectIds: [], demands: [] },
    digest: undefined,
    evidence: NO_EVIDENCE,
    advisories: NO_NOTICES,
    fleetMs,
    usage,
    progress: [],
  };
}

/** Creates the exchange; it sends nothing until it is started. */
export function createPeerExchange(options: PeerExchangeOptions): PeerExchange {
  const { vmName, availabilityZone, host, port, timers, logger, errorReporter } = options;
  const ownAddress = `${host}:${port}`;
  const table = createPeerTable(vmName, timers);
  const addressBook = createAddressBook(timers);
  const aggregator = createDigestAggregator({
    table,
    availabilityZone,
    getMonotonicMs: () => timers.getMonotonicMs(),
  });
  const fleetClock = createFleetClock(timers);
  const socket = createSocket('udp4');
  let listener: PeerExchangeListener | undefined;
  let stopSending: Unsubscribe | undefined;
  let cancelSendNow: Unsubscribe | undefined;
  const startedMs = timers.getMonotonicMs();
  /** Whether the address book contains the gateways that are registered in the store. */
  let areOthersRegistered = false;
  let lastSentMs = -Infinity;
  let reported: Pick<PeerLoadReport, 'loads' | 'demands'> = { loads: [], demands: [] };
  let topology: Topology = { isMesh: true, hubs: new Set(), watchers: new Set() };
  let topologyChangeCount = -1;
  let topologyGatewayCount = 0;
  let position = { index: 0, count: 1 };
  let positionChangeCount = -1;

  /** Counts the gateways, also those that are registered and have not sent a packet yet. */
  const countExpectedGateways = (): number =>
    Math.max(table.countPeers(), addressBook.countCandidates()) + 1;

  const getTopology = (): Topology => {
    const changeCount = table.getChangeCount();
    const gatewayCount = countExpectedGateways();
    const isKnown = topologyChangeCount === changeCount && topologyGatewayCount === gatewayCount;
    if (listener !== undefined && !isKnown) {
      topologyChangeCount = changeCount;
      topologyGatewayCount = gatewayCount;
      const gateways = [listener.getStatus(), ...table.listPeers().map(({ status }) => status)];
      topology = buildTopology(gateways, gatewayCount);
    }
    return topology;
  };
  const isHub = (name: string): boolean => getTopology().hubs.has(name);
  /** Whether this gateway knows enough others to derive its own role from them. */
  const isSettled = (): boolean =>
    timers.getMonotonicMs() - startedMs >= SETTLE_MS ||
    (areOthersRegistered && table.countPeers() + 1 >= countExpectedGateways() * SETTLED_SHARE);
  const isInOwnZone = ({ availabilityZone: zone }: PeerStatus): boolean =>
    zone === availabilityZone;
  const getPeriodMs = (): number => (getTopology().isMesh ? MESH_PERIOD_MS : HUB_PERIOD_MS);

  const packetSender = createPacketSender({
    timers,
    logger,
    errorReporter,
    linkMbps: options.linkMbps,
    // A failed send is treated as a lost datagram; the next packet follows within a period.
    sendDatagram: (bytes, address) =>
      socket.send(bytes, address.port, address.host, () => undefined),
  });
  const { sendToAll, sendInTurn } = packetSender;

  /** Returns for how long changes are repeated, so that a receiver may miss a packet. */
  const getRepeatMs = (): number =>
    Math.min(MAX_REPEAT_MS, CHANGE_REPEAT_PERIODS * getPeriodMs() + packetSender.getRoundMs());

  const sendAll = (): void => {
    if (listener === undefined) return;
    lastSentMs = timers.getMonotonicMs();
    const { isMesh, hubs, watchers } = getTopology();
    const sender = listener.getStatus();
    const loadReport = listener.getLoadReport();
    reported = loadReport;
    const evidence = listener.getEvidence();
    const advisories = listener.takeAdvisories();
    const fleetMs = fleetClock.getFleetMs();
    const peers = table.listPeers().map(({ status }) => status);
    const toAddresses = (list: readonly PeerStatus[]): string[] =>
      list.map(({ peerAddress }) => peerAddress);
    const isReporter = isMesh ? watchers.has(vmName) || sender.dutyTerm > 0 : hubs.has(vmName);
    const progress = isReporter ? listener.getProgress(getRepeatMs()) : [];
    // Hubs repeat the counts of lost processes for gateways that become hubs.
    const usage = listener.takeUsage(
      (name, incarnation) =>
        hubs.has(vmName) && table.findPeer(name)?.status.incarnation !== incarnation,
    );
    const build = (digest: PeerDigest | undefined, hasProgress: boolean): PeerPacket => ({
      sender,
      loadReport,
      digest,
      evidence,
      advisories,
      fleetMs,
      usage: [],
      progress: hasProgress ? progress : [],
    });
    const withUsage = (packet: PeerPacket): PeerPacket => ({ ...packet, usage });
    const heardAddresses = new Set(toAddresses(peers));
    const dueAddresses = addressBook.takeDueAddresses((address) => heardAddresses.has(address));
    sendToAll(dueAddresses, build(undefined, false));
    const otherHubs = peers.filter((peer) => hubs.has(peer.vmName));
    const zoneNonHubs = peers.filter((peer) => isInOwnZone(peer) && !hubs.has(peer.vmName));
    if (isMesh) {
      sendToAll(toAddresses(otherHubs), withUsage(build(undefined, true)));
    } else if (hubs.has(vmName)) {
      const zoneNonHubNames = new Set(zoneNonHubs.map((peer) => peer.vmName));
      const zoneDigest = aggregator.buildZoneDigest((name) => zoneNonHubNames.has(name));
      sendToAll(toAddresses(otherHubs), withUsage(build(zoneDigest, true)));
      sendInTurn(toAddresses(zoneNonHubs), build(aggregator.buildCompleteDigest(loadReport), true));
    } else {
      const ownHubs = otherHubs.filter(isInOwnZone);
      sendToAll(toAddresses(ownHubs), withUsage(build(undefined, false)));
    }
    if (usage.length > 0) {
      const isServed = ({ vmName: name, availabilityZone: zone }: PeerStatus): boolean =>
        isMesh || (hubs.has(name) && (hubs.has(vmName) || zone === availabilityZone));
      const others = peers.filter((peer) => hubs.has(peer.vmName) || peer.dutyTerm > 0);
      const unserved = others.filter((peer) => !isServed(peer));
      sendToAll(toAddresses(unserved), buildUsagePacket(sender, fleetMs, usage));
    }
    listener.handleLoadReport(aggregator.computePeerLoads(reported));
  };

  const sendNow = (): void => {
    if (cancelSendNow !== undefined) return;
    const gapMs = lastSentMs + MIN_SEND_GAP_MS - timers.getMonotonicMs();
    const delayMs = Math.max(0, gapMs, packetSender.getPauseMs());
    cancelSendNow = timers.scheduleOnce(delayMs, () => {
      cancelSendNow = undefined;
      sendAll();
    });
  };

  const handlePeerStatus = (status: PeerStatus, ageMs: number): void => {
    if (status.vmName === vmName) return;
    if (table.addPeer(status, ageMs)) {
      const { vmName: peer, incarnation, peerAddress } = status;
      logger.info('found a gateway', { peer, incarnation, peerAddress });
    }
    const known = table.findPeer(status.vmName);
    if (known === undefined) return;
    if (known.status.peerAddress !== ownAddress) addressBook.addAddress(known.status.peerAddress);
    listener?.handleStatus(known.status);
  };

  const handlePacket = (packet: PeerPacket): void => {
    const { sender, loadReport, digest } = packet;
    if (sender.vmName === vmName) return;
    const known = table.findPeer(sender.vmName);
    if (known !== undefined && known.status.incarnation > sender.incarnation) return;
    const suspectIds = [...loadReport.suspectIds, ...(digest?.suspectIds ?? [])];
    const knownSuspectIds = new Set(
      suspectIds.length > 0
        ? aggregator.computePeerLoads({ loads: [], demands: [] }).suspectIds
        : [],
    );
    fleetClock.observeFleetMs(packet.fleetMs);
    handlePeerStatus(sender, 0);
    if (table.findPeer(sender.vmName) === undefined) {
      throw new RangeError(`more than ${MAX_GATEWAYS} gateways send packets`);
    }
    aggregator.addPacket(packet);
    for (const relayedPeer of digest?.peers ?? []) {
      if (relayedPeer.isLost) table.markLost(relayedPeer);
      else handlePeerStatus(relayedPeer.status, relayedPeer.ageMs);
    }
    listener?.handleUsage(packet.usage);
    const delayMs = fleetClock.computeDelayMs(packet.fleetMs);
    packet.progress.forEach((progress) => listener?.handleProgress(progress, delayMs));
    const hasNewEvidence = listener?.handleEvidence(packet.evidence) === true;
    if (suspectIds.length > 0) listener?.handleSuspects(suspectIds);
    // A hub relays news immediately.
    const hasNewSuspects = suspectIds.some((id) => !knownSuspectIds.has(id));
    const hasNewAdvisories = listener?.handleAdvisories(packet.advisories) === true;
    const hasNews = hasNewSuspects || hasNewEvidence || hasNewAdvisories;
    if (hasNews && !getTopology().isMesh && isHub(vmName)) sendNow();
  };

  const removeTimedOutPeers = (): void => {
    const { isMesh, hubs } = getTopology();
    const timedOutPeers = table.removeTimedOut(isMesh ? DIRECT_TIMEOUT_MS : RELAYED_TIMEOUT_MS);
    const now = timers.getMonotonicMs();
    // A hub receives packets directly from its zone and the other hubs, so it can time out sooner.
    if (!isMesh && hubs.has(vmName)) {
      for (const { status, heardMs } of table.listPeers()) {
        const isHeardDirectly = isInOwnZone(status) || hubs.has(status.vmName);
        if (isHeardDirectly && now - heardMs > DIRECT_TIMEOUT_MS) {
          table.markLost({ status, ageMs: 0, isLost: true });
        }
      }
      timedOutPeers.push(...table.removeTimedOut(RELAYED_TIMEOUT_MS));
    }
    for (const peer of timedOutPeers) {
      const { vmName: name } = peer.status;
      aggregator.removePeer(name);
      aggregator.addLostPeer(peer);
      logger.warn('lost a gateway', { peer: name });
    }
  };

  socket.on('message', (bytes) => {
    try {
      handlePacket(decodePacket(bytes));
    } catch (error) {
      errorReporter.report(ErrorOrigin.Packet, error);
    }
  });
  socket.on('error', (error) =>
    logger.error('the UDP socket between gateways failed', { problem: formatProblem(error) }),
  );

  return {
    async start(startListener) {
      listener = startListener;
      await new Promise<void>((resolve, reject) => {
        socket.once('error', reject);
        socket.bind(port, host, () => {
          socket.off('error', reject);
          resolve();
        });
      });
      stopSending = timers.subscribe(MESH_PERIOD_MS, () => {
        removeTimedOutPeers();
        // Half a tick of tolerance, since sends happen only on ticks.
        const dueMs = lastSentMs + getPeriodMs() - MESH_PERIOD_MS / 2;
        if (timers.getMonotonicMs() >= dueMs) sendAll();
      });
    },
    addRegisteredAddresses(addresses) {
      areOthersRegistered = true;
      for (const address of addresses) {
        if (parseAddress(address) === undefined) {
          logger.warn('ignored an invalid address of a gateway', { address });
        } else if (address !== ownAddress) addressBook.addAddress(address);
      }
    },
    getFleetMs: fleetClock.getFleetMs,
    listPeers: table.listPeers,
    countGateways: () => table.countPeers() + 1,
    getPosition() {
      const changeCount = table.getChangeCount();
      const count = countExpectedGateways();
      if (positionChangeCount !== changeCount || position.count !== count) {
        positionChangeCount = changeCount;
        const ownKey = formatPositionKey({ vmName, availabilityZone });
        const keys = table.listPeers().map(({ status }) => formatPositionKey(status));
        position = { index: keys.filter((key) => key < ownKey).length, count };
      }
      return position;
    },
    isWatcher: () => isSettled() && getTopology().watchers.has(vmName),
    isHub: () => isSettled() && isHub(vmName),
    sendNow,
    stop() {
      stopSending?.();
      cancelSendNow?.();
      listener = undefined;
      socket.close();
    },
  };
}
