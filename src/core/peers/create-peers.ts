import { createSocket } from 'node:dgram';
import { formatProblem } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import type { TimerService, Unsubscribe } from '../timers/index.ts';
import { decodePacket, encodePacket } from './packets.ts';
import type { Peer, PeerStatus } from './types.ts';

/** What the exchange between gateways needs. */
export interface PeersOptions {
  vmName: string;
  host: string;
  port: number;
  timers: Pick<TimerService, 'getMonotonicMs' | 'subscribe'>;
  logger: Logger;
}

/** What the exchange reports, and what it tells the others. */
export interface PeersListener {
  getStatus(): PeerStatus;
  /** Called for each packet of another gateway. */
  handleStatus(status: PeerStatus): void;
  /** Called when a gateway has not been heard for a while. */
  handleLost(status: PeerStatus): void;
}

/** The other gateways. */
export interface Peers {
  /** Opens the socket and starts to send and receive. */
  start(listener: PeersListener): Promise<void>;
  /** Adds an address (`host:port`) to send to, found in the store. */
  addAddress(address: string): void;
  /** Gateways heard lately. */
  listPeers(): Peer[];
  /** Gateways heard lately, and this one. */
  countGateways(): number;
  /** Sends the status at once, without waiting for the next period. */
  sendNow(): void;
  stop(): void;
}

/** Period of the packets: the age of peers' loads when a target is chosen. */
const SEND_PERIOD_MS = 120;
/** A gateway not heard for this long, about ten packets, is not named to callers any more. */
const LOST_AFTER_MS = 1_200;

/** Creates the exchange; it is silent until it is started. */
export function createPeers(options: PeersOptions): Peers {
  const { vmName, host, port, timers, logger } = options;
  const ownAddress = `${host}:${port}`;
  const addresses = new Set<string>();
  const peers = new Map<string, Peer>();
  const socket = createSocket('udp4');
  let listener: PeersListener | undefined;
  let stopSending: Unsubscribe | undefined;

  const sendNow = (): void => {
    if (listener === undefined) return;
    const bytes = encodePacket(listener.getStatus());
    for (const address of addresses) {
      const [peerHost, peerPort] = address.split(':');
      // A datagram that cannot be sent counts as lost; the next one follows soon.
      socket.send(bytes, Number(peerPort), peerHost, () => undefined);
    }
  };

  const handlePacket = (status: PeerStatus): void => {
    if (status.vmName === vmName) return;
    const known = peers.get(status.vmName);
    if (known !== undefined && known.status.incarnation > status.incarnation) return;
    if (known?.status.incarnation !== status.incarnation) {
      const { vmName: peer, incarnation, peerAddress } = status;
      logger.info('found a gateway', { peer, incarnation, peerAddress });
    }
    peers.set(status.vmName, { status, heardMs: timers.getMonotonicMs() });
    if (status.peerAddress !== ownAddress) addresses.add(status.peerAddress);
    listener?.handleStatus(status);
  };

  const removeLost = (): void => {
    const now = timers.getMonotonicMs();
    for (const [name, { status, heardMs }] of peers) {
      if (now - heardMs <= LOST_AFTER_MS) continue;
      peers.delete(name);
      logger.warn('lost a gateway', { peer: name, silentMs: Math.round(now - heardMs) });
      listener?.handleLost(status);
    }
  };

  socket.on('message', (bytes) => {
    try {
      handlePacket(decodePacket(bytes));
    } catch (error) {
      logger.warn('a packet cannot be read', { problem: formatProblem(error) });
    }
  });
  socket.on('error', (error) =>
    logger.error('the socket between gateways failed', { problem: formatProblem(error) }),
  );
  return {
    async start(started) {
      listener = started;
      await new Promise<void>((resolve) => {
        socket.bind(port, host, resolve);
      });
      stopSending = timers.subscribe(SEND_PERIOD_MS, () => {
        removeLost();
        sendNow();
      });
    },
    addAddress(address) {
      if (address !== ownAddress) addresses.add(address);
    },
    listPeers: () => [...peers.values()],
    countGateways: () => peers.size + 1,
    sendNow,
    stop() {
      stopSending?.();
      listener = undefined;
      socket.close();
    },
  };
}
