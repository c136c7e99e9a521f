import { createSocket } from 'node:dgram';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { NO_NOTICES } from '../advisories/index.ts';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import { NO_EVIDENCE } from '../quarantine/index.ts';
import { StoreKind } from '../store/index.ts';
import { createTimerService } from '../timers/index.ts';
import { createPeerExchange } from './create-peer-exchange.ts';
import { buildPeerStatus } from './fixtures/peer-status.ts';
import { encodePacket } from './packets.ts';
import { IDLE_LISTENER } from './fixtures/idle-listener.ts';

const HOST = '127.0.0.1';
const PORT = 7_343;
const FLEET_MS = 1_000_000;
const WAIT_LIMIT_MS = 5_000;
const POLL_MS = 10;
const timers = createTimerService();

function buildDatagram(vmName: string, fleetMs: number): Uint8Array {
  return encodePacket({
    sender: buildPeerStatus(vmName),
    loadReport: { loads: [], suspectIds: [], demands: [] },
    digest: undefined,
    evidence: NO_EVIDENCE,
    advisories: NO_NOTICES,
    fleetMs,
    usage: [],
    progress: [
      {
        kind: StoreKind.Configuration,
        era: 0,
        revision: 7,
        changedRevision: 7,
        ageMs: 0,
        sinceRevision: 7,
        changes: [],
      },
    ],
  });
}

describe('packet that waited', () => {
  // Guards against a copy of the store that counts as confirmed although its packet waited for seconds
  // in front of a full link or a busy process.
  it('is as old as the clock of all gateways shows', async () => {
    const delays: number[] = [];
    const exchange = createPeerExchange({
      vmName: 'self',
      availabilityZone: 'a',
      host: HOST,
      port: PORT,
      linkMbps: 0,
      timers,
      logger: createLogger('test'),
      errorReporter: createErrorReporter(() => undefined),
    });
    await exchange.start({
      ...IDLE_LISTENER,
      handleProgress: (_progress, delayMs) => delays.push(delayMs),
    });
    const socket = createSocket('udp4');
    const send = async (datagram: Uint8Array): Promise<void> => {
      const count = delays.length;
      socket.send(datagram, PORT, HOST);
      const endMs = timers.getMonotonicMs() + WAIT_LIMIT_MS;
      while (delays.length === count && timers.getMonotonicMs() < endMs) {
        await timers.waitFor(POLL_MS);
      }
    };
    await send(buildDatagram('first', FLEET_MS));
    await send(buildDatagram('second', FLEET_MS - 3_000));
    socket.close();
    exchange.stop();
    const [first = Infinity, second = 0] = delays;
    expect(first < WAIT_LIMIT_MS / 10).toEqual(true);
    expect(second >= 3_000 && second < 3_000 + WAIT_LIMIT_MS).toEqual(true);
  });
});
