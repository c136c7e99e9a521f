import type { ErrorReporter } from '../errors/index.ts';
import { ErrorOrigin } from '../errors/index.ts';
import type { Logger } from '../logs/index.ts';
import type { TimerService } from '../timers/index.ts';
import type { SocketAddress } from './address.ts';
import { parseAddress } from './address.ts';
import { MAX_DATAGRAM_BYTES } from './consts.ts';
import { encodePacket } from './packets.ts';
import type { PeerPacket } from './types.ts';

/** Dependencies of the sender of packets. */
export interface PacketSenderOptions {
  timers: Pick<TimerService, 'getMonotonicMs'>;
  logger: Pick<Logger, 'warn'>;
  errorReporter: ErrorReporter;
  /** Link of this VM in megabits a second; 0 if unknown. */
  linkMbps: number;
  /** Sends one datagram. */
  sendDatagram(bytes: Uint8Array, address: SocketAddress): void;
}

/** Sends packets to other gateways, and leaves most of the link to callers and targets. */
export interface PacketSender {
  /** Sends a packet to all addresses. */
  sendToAll(addresses: readonly string[], packet: PeerPacket): void;
  /**
   * Sends a packet to as many of the addresses as the link has room for, and to a few at least; those
   * come first to which the last packet was sent longest ago.
   */
  sendInTurn(addresses: readonly string[], packet: PeerPacket): void;
  /** Returns the time until the link has room, in milliseconds. */
  getPauseMs(): number;
  /** Returns the time in which each address of `sendInTurn` gets a packet; 0 if all get each one. */
  getRoundMs(): number;
}

/** Share of the link that packets take at most, apart from those that are sent in any case. */
const LINK_SHARE = 0.4;
const BYTES_PER_MS_PER_MBPS = 125;
/** Addresses of `sendInTurn` that get a packet in any case, so that each gets one every few seconds. */
const MIN_IN_TURN = 5;
/** Minimum time between two log lines. */
const LOG_PERIOD_MS = 5_000;
/** Time for which unused room is kept. */
const MAX_SAVED_MS = 250;
/** Largest pause, so that packets go on over a link that is too small for them. */
const MAX_PAUSE_MS = 250;

/** Creates a sender with room for one period. */
export function createPacketSender(options: PacketSenderOptions): PacketSender {
  const { timers, logger, errorReporter, linkMbps, sendDatagram } = options;
  const bytesPerMs = linkMbps > 0 ? linkMbps * BYTES_PER_MS_PER_MBPS * LINK_SHARE : Infinity;
  /** Time at which all bytes sent so far have passed the share of the link. */
  let passedMs = -Infinity;
  let lastSentMs = new Map<string, number>();
  let roundMs = 0;
  let loggedMs = -Infinity;

  const getAheadMs = (): number => passedMs - timers.getMonotonicMs();
  const hasRoom = (): boolean => getAheadMs() <= 0;

  const logTurns = (bytes: number, sent: number, addresses: number): void => {
    const now = timers.getMonotonicMs();
    if (now - loggedMs < LOG_PERIOD_MS) return;
    loggedMs = now;
    logger.warn('the link has no room for packets to all gateways; they take turns', {
      linkMbps,
      bytes,
      sent,
      addresses,
    });
  };

  const encode = (packet: PeerPacket): Uint8Array | undefined => {
    const bytes = encodePacket(packet);
    if (bytes.length <= MAX_DATAGRAM_BYTES) return bytes;
    const problem = `a packet of ${bytes.length} bytes exceeds the limit of ${MAX_DATAGRAM_BYTES}`;
    errorReporter.report(ErrorOrigin.Packet, new RangeError(problem));
    return undefined;
  };

  const sendBytes = (bytes: Uint8Array, address: string): void => {
    const peerAddress = parseAddress(address);
    if (peerAddress === undefined) return;
    const now = timers.getMonotonicMs();
    passedMs = Math.max(passedMs, now - MAX_SAVED_MS) + bytes.length / bytesPerMs;
    passedMs = Math.min(passedMs, now + MAX_PAUSE_MS);
    sendDatagram(bytes, peerAddress);
  };

  return {
    sendToAll(addresses, packet) {
      const bytes = addresses.length > 0 ? encode(packet) : undefined;
      if (bytes === undefined) return;
      addresses.forEach((address) => sendBytes(bytes, address));
    },
    sendInTurn(addresses, packet) {
      const bytes = addresses.length > 0 ? encode(packet) : undefined;
      if (bytes === undefined) return;
      const now = timers.getMonotonicMs();
      const previous = lastSentMs;
      const getSentMs = (address: string): number => previous.get(address) ?? 0;
      const ordered = [...addresses].sort((left, right) => getSentMs(left) - getSentMs(right));
      lastSentMs = new Map([...previous].filter(([address]) => addresses.includes(address)));
      const sent = ordered.filter((address, index) => {
        if (index >= MIN_IN_TURN && !hasRoom()) return false;
        sendBytes(bytes, address);
        lastSentMs.set(address, now);
        return true;
      });
      const waits = sent.map((address) => now - (previous.get(address) ?? now));
      if (sent.length < addresses.length) logTurns(bytes.length, sent.length, addresses.length);
      roundMs = sent.length < addresses.length ? Math.max(0, ...waits) : 0;
    },
    getPauseMs: () => Math.max(0, getAheadMs()),
    getRoundMs: () => roundMs,
  };
}
