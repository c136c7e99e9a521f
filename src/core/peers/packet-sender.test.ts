import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NO_NOTICES } from '../advisories/index.ts';
import { createErrorReporter } from '../errors/index.ts';
import { NO_EVIDENCE } from '../quarantine/index.ts';
import { createManualTimers } from '../timers/index.ts';
import { buildPeerStatus } from './fixtures/peer-status.ts';
import { createPacketSender } from './packet-sender.ts';
import type { PeerPacket } from './types.ts';

const HUBS = Array.from({ length: 5 }, (_, index) => `10.0.1.${index}:7340`);
const LEAVES = Array.from({ length: 36 }, (_, index) => `10.0.0.${index}:7340`);
const PERIOD_MS = 250;
const PLAYED_MS = 10_000;
const BITS_PER_BYTE = 8;
const BITS_PER_MS_PER_MBPS = 1_000;

/** Builds a packet of about 13 kB, like those of a hub that has lost half of the gateways. */
function buildPacket(): PeerPacket {
  const loads = Array.from({ length: 600 }, (_, index) => ({
    targetId: `target-${index}-of-many`,
    inFlight: 10,
  }));
  return {
    sender: buildPeerStatus('hub'),
    loadReport: { loads, suspectIds: [], demands: [] },
    digest: undefined,
    evidence: NO_EVIDENCE,
    advisories: NO_NOTICES,
    fleetMs: 1,
    usage: [],
    progress: [],
  };
}

/** Plays a hub that sends each period, and also whenever it may if it has news all the time. */
function playHub(linkMbps: number, hasNews: boolean) {
  const timers = createManualTimers();
  let warnings = 0;
  const sent: { address: string; atMs: number; bytes: number }[] = [];
  const sender = createPacketSender({
    timers,
    linkMbps,
    logger: { warn: () => warnings++ },
    errorReporter: createErrorReporter(() => undefined),
    sendDatagram: (bytes, { host, port }) =>
      sent.push({
        address: `${host}:${port}`,
        atMs: timers.getMonotonicMs(),
        bytes: bytes.length,
      }),
  });
  const packet = buildPacket();
  const startMs = timers.getMonotonicMs();
  let lastMs = -Infinity;
  while (timers.getMonotonicMs() - startMs < PLAYED_MS) {
    const sinceMs = timers.getMonotonicMs() - lastMs;
    if (sinceMs >= PERIOD_MS || (hasNews && sinceMs >= 30 && sender.getPauseMs() === 0)) {
      lastMs = timers.getMonotonicMs();
      sender.sendToAll(HUBS, packet);
      sender.sendInTurn(LEAVES, packet);
    }
    timers.runFor(10);
  }
  const totalBytes = sent.reduce((sum, { bytes }) => sum + bytes, 0);
  const usedMbps = (totalBytes * BITS_PER_BYTE) / PLAYED_MS / BITS_PER_MS_PER_MBPS;
  const getLongestGapMs = (address: string): number => {
    const times = sent.filter((one) => one.address === address).map(({ atMs }) => atMs);
    const ends = [...times, startMs + PLAYED_MS];
    return Math.max(...ends.map((atMs, index) => atMs - (times[index - 1] ?? startMs)));
  };
  return {
    usedMbps,
    warnings,
    roundMs: sender.getRoundMs(),
    hubGapMs: Math.max(...HUBS.map(getLongestGapMs)),
    leafGapMs: Math.max(...LEAVES.map(getLongestGapMs)),
  };
}

describe('sender of packets', () => {
  const cases = [
    { linkMbps: 0, hasNews: false, mostMbps: Infinity, mostLeafGapMs: PERIOD_MS },
    { linkMbps: 1_000, hasNews: false, mostMbps: Infinity, mostLeafGapMs: PERIOD_MS },
    { linkMbps: 140, hasNews: true, mostMbps: 60, mostLeafGapMs: PERIOD_MS },
    { linkMbps: 9.8, hasNews: false, mostMbps: 5, mostLeafGapMs: 2_000 },
    { linkMbps: 9.8, hasNews: true, mostMbps: 5, mostLeafGapMs: 2_000 },
    { linkMbps: 1, hasNews: true, mostMbps: 5, mostLeafGapMs: 2_000 },
  ];
  for (const { linkMbps, hasNews, mostMbps, mostLeafGapMs } of cases) {
    const kind = hasNews ? 'with news all the time' : 'without news';
    // Guards against a small hub whose own packets fill its link and cut it off from the store.
    it(`uses ${mostMbps} Mbit/s at most of a link of ${linkMbps}, ${kind}`, () => {
      const played = playHub(linkMbps, hasNews);
      expect(played.warnings > 0).toEqual(mostMbps < Infinity);
      expect(played.usedMbps <= mostMbps).toEqual(true);
      expect(played.hubGapMs <= PERIOD_MS + 20).toEqual(true);
      expect(played.leafGapMs <= mostLeafGapMs + 20).toEqual(true);
      expect(played.roundMs <= mostLeafGapMs).toEqual(true);
    });
  }

  // Guards against a test that would pass without the limit: the load is more than a small link has.
  it('would fill a small link without a limit', () => {
    expect(playHub(0, false).usedMbps > 9.8).toEqual(true);
  });
});
