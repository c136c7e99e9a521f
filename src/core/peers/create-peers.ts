import { createSocket } from 'node:dgram';
import { formatProblem } from '../errors/index.ts';
import type { FeedProgress } from '../feed/index.ts';
import type { TargetLoad } from '../fleet/index.ts';
import type { Logger } from '../logs/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { createAddressBook } from './address-book.ts';
import { createDigestBook } from './digests.ts';
import { createMemberTable } from './member-table.ts';
import { decodePacket, encodePacket } from './packets.ts';
import type { Topology } from './topology.ts';
import { buildTopology } from './topology.ts';
import type { Peer, PeerDigest, PeerPacket, PeerStatus, PeerWork } from './types.ts';

/** Options of the packet exchange between gateways. */
export interface PeersOptions {
  vmName: string;
  availabilityZone: string;
  host: string;
  port: number;
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe' | 'scheduleOnce'>;
  logger: Logger;
}

/** Supplies what is sent to the other gateways, and receives what they report. */
export interface PeersListener {
  getStatus(): PeerStatus;
  getWork(): PeerWork;
  /** Progress of the store copies, with the changes of the last `recentMs`. */
  getProgress(recentMs: number): FeedProgress[];
  /** Called for each gateway whose status was received, directly or through a hub. */
  handleStatus(status: PeerStatus): void;
  /** Called with the combined loads and suspects of all other gateways. */
  handleWork(work: PeerWork): void;
  handleSuspects(targetIds: readonly string[]): void;
  handleProgress(progress: FeedProgress): void;
}

/** Exchanges state with the other gateways over UDP. */
export interface Peers {
  /** Opens the socket and starts to send and receive. */
  start(listener: PeersListener): Promise<void>;
  /** Adds the address (`host:port`) of a gateway that is registered in the store. */
  addAddress(address: string): void;
  /** Lists the other gateways that have not timed out. */
  listPeers(): Peer[];
  /** Counts the gateways that have not timed out, this one included. */
  countGateways(): number;
  /** Returns the index of this gateway among all gateways sorted by name, and their count. */
  getPosition(): { index: number; count: number };
  /** Whether this gateway watches the store on behalf of others. */
  isWatcher(): boolean;
  /** Whether this gateway exchanges packets with all hubs. */
  isHub(): boolean;
  /** Sends packets without waiting for the next period. */
  sendNow(): void;
  stop(): void;
}

/** Packet period in a mesh; it bounds the age of peer loads when a target is chosen. */
const MESH_PERIOD_MS = 120;
/** Packet period with hubs: a larger fleet has more targets to share the load and more packets. */
const HUB_PERIOD_MS = 250;
/** Number of packet periods for which store changes are repeated, because datagrams can be lost. */
const CHANGE_REPEATS = 2.5;
/** A gateway without a direct packet for this long is lost; about ten packets of a mesh. */
const DIRECT_LOST_MS = 1_200;
/** A gateway that no hub has reported for this long is lost; a hub reports each one within 2 s. */
const RELAYED_LOST_MS = 4_500;
/** Minimum time between the last send and an immediate one. */
const SEND_NOW_GAP_MS = 30;

/** Creates the exchange; it sends nothing until it is started. */
export function createPeers(options: PeersOptions): Peers {
  const { vmName, availabilityZone, host, port, timers, logger } = options;
  const ownAddress = `${host}:${port}`;
  const table = createMemberTable(vmName, timers);
  const addresses = createAddressBook(timers);
  const book = createDigestBook({
    table,
    availabilityZone,
    getMonotonicMs: () => timers.getMonotonicMs(),
  });
  const heardAddresses = new Map<string, string>();
  const socket = createSocket('udp4');
  let listener: PeersListener | undefined;
  let stopSending: Unsubscribe | undefined;
  let cancelSendNow: Unsubscribe | undefined;
  let lastSentMs = -Infinity;
  let reportedLoads: TargetLoad[] = [];
  let topology: Topology = { isMesh: true, hubs: new Set(), watchers: new Set() };
  let topologyRevision = -1;
  let topologySize = 0;
  let position = { index: 0, count: 1 };
  let positionRevision = -1;

  const getTopology = (): Topology => {
    const revision = table.getRevision();
    const fleetSize = Math.max(table.countPeers(), addresses.countLikely()) + 1;
    const isKnown = topologyRevision === revision && topologySize === fleetSize;
    if (listener !== undefined && !isKnown) {
      topologyRevision = revision;
      topologySize = fleetSize;
      const members = [listener.getStatus(), ...table.listPeers().map(({ status }) => status)];
      topology = buildTopology(members, fleetSize);
    }
    return topology;
  };
  const isHub = (name: string): boolean => getTopology().hubs.has(name);
  const isOfOwnZone = ({ availabilityZone: zone }: PeerStatus): boolean =>
    zone === availabilityZone;
  const getPeriodMs = (): number => (getTopology().isMesh ? MESH_PERIOD_MS : HUB_PERIOD_MS);

  const sendTo = (peerAddresses: readonly string[], packet: PeerPacket): void => {
    if (peerAddresses.length === 0) return;
    const bytes = encodePacket(packet);
    for (const address of peerAddresses) {
      const [peerHost, peerPort] = address.split(':');
      // A failed send is treated as a lost datagram; the next packet follows within a period.
      socket.send(bytes, Number(peerPort), peerHost, () => undefined);
    }
  };

  const sendAll = (): void => {
    if (listener === undefined) return;
    lastSentMs = timers.getMonotonicMs();
    const { isMesh, hubs, watchers } = getTopology();
    const sender = listener.getStatus();
    const work = listener.getWork();
    reportedLoads = work.loads;
    const peers = table.listPeers().map(({ status }) => status);
    const toAddresses = (list: readonly PeerStatus[]): string[] =>
      list.map(({ peerAddress }) => peerAddress);
    const build = (digest: PeerDigest | undefined, hasProgress: boolean): PeerPacket => ({
      sender,
      work,
      digest,
      progress: hasProgress ? (listener?.getProgress(CHANGE_REPEATS * getPeriodMs()) ?? []) : [],
    });
    const otherHubs = peers.filter((one) => hubs.has(one.vmName));
    const leaves = peers.filter((one) => isOfOwnZone(one) && !hubs.has(one.vmName));
    if (isMesh) {
      sendTo(toAddresses(otherHubs), build(undefined, watchers.has(vmName) || sender.dutyTerm > 0));
    } else if (hubs.has(vmName)) {
      const leafNames = new Set(leaves.map((one) => one.vmName));
      const zoneDigest = book.buildZoneDigest((name) => leafNames.has(name));
      sendTo(toAddresses(otherHubs), build(zoneDigest, true));
      sendTo(toAddresses(leaves), build(book.buildFleetDigest(work), true));
    } else {
      sendTo(toAddresses(otherHubs.filter(isOfOwnZone)), build(undefined, false));
    }
    sendTo(
      addresses.takeDue((address) => heardAddresses.has(address)),
      build(undefined, false),
    );
    listener.handleWork(book.computeOthersWork(reportedLoads));
  };

  const sendNow = (): void => {
    if (cancelSendNow !== undefined) return;
    const delayMs = Math.max(0, lastSentMs + SEND_NOW_GAP_MS - timers.getMonotonicMs());
    cancelSendNow = timers.scheduleOnce(delayMs, () => {
      cancelSendNow = undefined;
      sendAll();
    });
  };

  const handleMember = (status: PeerStatus, ageMs: number): void => {
    if (status.vmName === vmName) return;
    if (table.addMember(status, ageMs)) {
      const { vmName: peer, incarnation, peerAddress } = status;
      logger.info('found a gateway', { peer, incarnation, peerAddress });
    }
    const known = table.findPeer(status.vmName);
    if (known === undefined) return;
    heardAddresses.set(known.status.peerAddress, status.vmName);
    if (known.status.peerAddress !== ownAddress) addresses.addAddress(known.status.peerAddress);
    listener?.handleStatus(known.status);
  };

  const handlePacket = (packet: PeerPacket): void => {
    const { sender, work, digest } = packet;
    if (sender.vmName === vmName) return;
    const known = table.findPeer(sender.vmName);
    if (known !== undefined && known.status.incarnation > sender.incarnation) return;
    const suspectIds = [...work.suspectIds, ...(digest?.suspectIds ?? [])];
    const knownIds = new Set(suspectIds.length > 0 ? book.computeOthersWork([]).suspectIds : []);
    handleMember(sender, 0);
    book.addPacket(packet);
    for (const member of digest?.members ?? []) {
      if (member.isLost) table.addLost(member);
      else handleMember(member.status, member.ageMs);
    }
    packet.progress.forEach((one) => listener?.handleProgress(one));
    if (suspectIds.length === 0) return;
    listener?.handleSuspects(suspectIds);
    // A hub relays new suspects from its zone immediately.
    const isNews = suspectIds.some((id) => !knownIds.has(id));
    if (isNews && !getTopology().isMesh && isHub(vmName)) sendNow();
  };

  const removeLost = (): void => {
    const { isMesh, hubs } = getTopology();
    const silent = table.removeSilent(isMesh ? DIRECT_LOST_MS : RELAYED_LOST_MS);
    const now = timers.getMonotonicMs();
    // A hub receives packets directly from its zone and the other hubs, so it can time out sooner.
    if (!isMesh && hubs.has(vmName)) {
      for (const { status, heardMs } of table.listPeers()) {
        const isHeardDirectly = isOfOwnZone(status) || hubs.has(status.vmName);
        if (isHeardDirectly && now - heardMs > DIRECT_LOST_MS) {
          table.addLost({ status, ageMs: 0, isLost: true });
        }
      }
      silent.push(...table.removeSilent(RELAYED_LOST_MS));
    }
    for (const peer of silent) {
      const { vmName: name, peerAddress } = peer.status;
      heardAddresses.delete(peerAddress);
      book.removePeer(name);
      book.addLost(peer);
      logger.warn('lost a gateway', { peer: name });
    }
  };

  socket.on('message', (bytes) => {
    try {
      handlePacket(decodePacket(bytes));
    } catch (error) {
      logger.warn('failed to handle a packet', { problem: formatProblem(error) });
    }
  });
  socket.on('error', (error) =>
    logger.error('the UDP socket between gateways failed', { problem: formatProblem(error) }),
  );

  return {
    async start(started) {
      listener = started;
      await new Promise<void>((resolve) => {
        socket.bind(port, host, resolve);
      });
      stopSending = timers.subscribe(MESH_PERIOD_MS, () => {
        removeLost();
        const dueMs = lastSentMs + getPeriodMs() - MESH_PERIOD_MS / 2;
        if (timers.getMonotonicMs() >= dueMs) sendAll();
      });
    },
    addAddress(address) {
      if (address !== ownAddress) addresses.addAddress(address);
    },
    listPeers: table.listPeers,
    countGateways: () => table.countPeers() + 1,
    getPosition() {
      if (positionRevision !== table.getRevision()) {
        positionRevision = table.getRevision();
        const names = table.listPeers().map(({ status }) => status.vmName);
        position = {
          index: names.filter((name) => name < vmName).length,
          count: names.length + 1,
        };
      }
      return position;
    },
    isWatcher: () => getTopology().watchers.has(vmName),
    isHub: () => isHub(vmName),
    sendNow,
    stop() {
      stopSending?.();
      cancelSendNow?.();
      listener = undefined;
      socket.close();
    },
  };
}
