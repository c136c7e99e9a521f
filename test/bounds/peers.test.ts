import { createSocket } from 'node:dgram';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NO_NOTICES } from '../../src/core/advisories/index.ts';
import { createErrorReporter } from '../../src/core/errors/index.ts';
import { createLogger } from '../../src/core/logs/index.ts';
import { createAddressBook } from '../../src/core/peers/address-book.ts';
import { createPeerExchange } from '../../src/core/peers/create-peer-exchange.ts';
import { createDigestAggregator } from '../../src/core/peers/digests.ts';
import { buildPeerStatus } from '../../src/core/peers/fixtures/peer-status.ts';
import { encodePacket } from '../../src/core/peers/packets.ts';
import { createPeerTable } from '../../src/core/peers/peer-table.ts';
import type { PeerPacket } from '../../src/core/peers/types.ts';
import { NO_EVIDENCE } from '../../src/core/quarantine/index.ts';
import { createManualTimers, createTimerService } from '../../src/core/timers/index.ts';
import { measureHeapBytes } from './measure-heap.ts';
import { IDLE_LISTENER } from '../../src/core/peers/fixtures/idle-listener.ts';

const HOST = '127.0.0.32';
const PORT = 7_343;
/** Five times the gateways of the largest site. */
const MAX_GATEWAYS = 1_000;
const LONG_NAME = 'x'.repeat(20_000);
const TIMEOUT_MS = 1_200;

function buildPacket(change: Partial<PeerPacket> = {}): PeerPacket {
  return {
    sender: buildPeerStatus('vm-1'),
    loadReport: { loads: [], suspectIds: [], demands: [] },
    digest: undefined,
    evidence: NO_EVIDENCE,
    advisories: NO_NOTICES,
    fleetMs: 0,
    usage: [],
    progress: [],
    ...change,
  };
}

function formatAddress(index: number): string {
  return `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:7340`;
}

describe('what a gateway holds for others', () => {
  // Guards against a process that grows with each gateway that was ever heard.
  it('returns to where it was after 5,000 gateways have come and gone', () => {
    const timers = createManualTimers();
    const table = createPeerTable('self', timers);
    const { getMonotonicMs } = timers;
    const aggregator = createDigestAggregator({ table, availabilityZone: 'a', getMonotonicMs });
    const addressBook = createAddressBook(timers);
    const startBytes = measureHeapBytes();
    for (let index = 0; index < 5_000; index++) {
      const sender = buildPeerStatus(`vm-${index}`, { peerAddress: formatAddress(index) });
      table.addPeer(sender, 0);
      aggregator.addPacket(buildPacket({ sender }));
      addressBook.addAddress(sender.peerAddress);
      addressBook.takeDueAddresses(() => false);
      timers.runFor(TIMEOUT_MS / 10);
      for (const peer of table.removeTimedOut(TIMEOUT_MS)) {
        aggregator.removePeer(peer.status.vmName);
        aggregator.addLostPeer(peer);
      }
    }
    const grownBytes = measureHeapBytes() - startBytes;
    expect(table.countPeers() <= 11).toEqual(true);
    expect(addressBook.countCandidates() <= MAX_GATEWAYS).toEqual(true);
    expect(aggregator.buildZoneDigest(() => true).isComplete).toEqual(false);
    // A thousand addresses with their dates, and a few gateways.
    expect(grownBytes < MAX_GATEWAYS * 500).toEqual(true);
  });

  // Guards against datagrams that fill the memory: of made-up gateways, or of one that makes up
  // addresses or names of any length.
  const floods = [
    { name: 'gateways', build: (index: number) => buildPeerStatus(`made-up-${index}`) },
    {
      name: 'addresses of one gateway',
      build: (index: number) =>
        buildPeerStatus('made-up', { incarnation: index, peerAddress: formatAddress(index) }),
    },
    { name: 'long names', build: (index: number) => buildPeerStatus(`${LONG_NAME}-${index}`) },
  ];
  for (const [offset, { name, build }] of floods.entries()) {
    it(`is bounded when 5,000 ${name} are made up, and a gateway heard before stays`, async () => {
      const timers = createTimerService();
      const exchange = createPeerExchange({
        vmName: 'self',
        availabilityZone: 'a',
        host: HOST,
        port: PORT + offset,
        linkMbps: 0,
        timers,
        logger: createLogger('test'),
        errorReporter: createErrorReporter(() => undefined),
      });
      await exchange.start(IDLE_LISTENER);
      const socket = createSocket('udp4');
      const send = (sender: PeerPacket['sender']): void =>
        socket.send(encodePacket(buildPacket({ sender })), PORT + offset, HOST);
      send(buildPeerStatus('sound'));
      await timers.waitFor(20);
      const startBytes = measureHeapBytes();
      let mostGateways = 0;
      for (let index = 0; index < 5_000; index++) {
        send(build(index + 1));
        if (index % 20 !== 0) continue;
        await timers.waitFor(1);
        send(buildPeerStatus('sound'));
        mostGateways = Math.max(mostGateways, exchange.getPosition().count);
      }
      await timers.waitFor(50);
      const grownBytes = measureHeapBytes() - startBytes;
      const hasSound = exchange.listPeers().some(({ status }) => status.vmName === 'sound');
      exchange.stop();
      socket.close();
      expect(hasSound).toEqual(true);
      expect(mostGateways <= MAX_GATEWAYS + 1).toEqual(true);
      expect(grownBytes < MAX_GATEWAYS * 4_000).toEqual(true);
    });
  }
});
