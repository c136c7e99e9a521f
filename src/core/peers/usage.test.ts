import { describe, it } from 'node:test';
import { expect } from 'earl';
import { createUsageBook } from '../duties/index.ts';
import { createErrorReporter } from '../errors/index.ts';
import { createLogger } from '../logs/index.ts';
import { createTimerService } from '../timers/index.ts';
import { createPeerExchange } from './create-peer-exchange.ts';
import { buildPeerStatus } from './fixtures/peer-status.ts';
import { IDLE_LISTENER } from './fixtures/idle-listener.ts';

const PORT = 7_346;
const WINDOW_MS = 3_600_000;
const ZONES = ['a', 'b', 'c'];
/** Name of a gateway with the least capacity, so that it is no hub. */
const LEADER = 'vm-0';
const PATIENCE_MS = 6_000;
const POLL_MS = 50;

/** Starts a gateway that counts one request of a customer of its name. */
async function startGateway(index: number, count: number) {
  const timers = createTimerService();
  const vmName = `vm-${index}`;
  const availabilityZone = ZONES[index % ZONES.length]!;
  const host = `127.0.7.${index + 1}`;
  const book = createUsageBook({ vmName, incarnation: 1, windowMs: WINDOW_MS, timers });
  const window = book.getWindow(timers.getWallMs());
  book.recordBegin(vmName);
  const exchange = createPeerExchange({
    vmName,
    availabilityZone,
    host,
    port: PORT,
    linkMbps: 0,
    timers,
    logger: createLogger('test'),
    errorReporter: createErrorReporter(() => undefined),
  });
  exchange.addRegisteredAddresses(
    Array.from({ length: count }, (_, each) => `127.0.7.${each + 1}:${PORT}`),
  );
  const status = buildPeerStatus(vmName, {
    availabilityZone,
    peerAddress: `${host}:${PORT}`,
    capacity: 300 + index,
    dutyTerm: vmName === LEADER ? 4 : 0,
  });
  await exchange.start({
    ...IDLE_LISTENER,
    getStatus: () => status,
    takeUsage: book.takeUsage,
    handleUsage: book.receiveUsage,
  });
  return {
    vmName,
    exchange,
    countCustomers: () => book.sumCounts(window)?.size ?? 0,
    getSum: () => [...(book.sumCounts(window)?.values() ?? [])].reduce((sum, one) => sum + one, 0),
  };
}

describe('counts of usage between gateways', () => {
  for (const count of [4, 15]) {
    // Guards against a leader that does not know the counts of some gateways, or counts them twice.
    it(`reach all hubs and the leader among ${count} gateways`, async () => {
      const timers = createTimerService();
      const gateways = await Promise.all(
        Array.from({ length: count }, (_, index) => startGateway(index, count)),
      );
      const listReceivers = () =>
        gateways.filter(({ vmName, exchange }) => vmName === LEADER || exchange.isHub());
      const isOver = (): boolean =>
        gateways.every(({ exchange }) => exchange.listPeers().length === count - 1) &&
        listReceivers().every(({ countCustomers }) => countCustomers() === count);
      for (let waitedMs = 0; waitedMs < PATIENCE_MS && !isOver(); waitedMs += POLL_MS) {
        await timers.waitFor(POLL_MS);
      }
      const receivers = listReceivers();
      const sums = receivers.map(({ getSum }) => getSum());
      gateways.forEach(({ exchange }) => exchange.stop());
      expect(receivers).toHaveLength(count > 12 ? 2 * ZONES.length + 1 : count);
      expect(sums).toEqual(receivers.map(() => count));
    });
  }
});
