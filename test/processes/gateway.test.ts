import { readFileSync } from 'node:fs';
import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { StoreFault } from '../../src/stand-ins/store/index.ts';
import type { GatewaySession } from './gateway-session.ts';
import { startGatewaySession } from './gateway-session.ts';

describe('gateway process', () => {
  const context = {} as { session: GatewaySession };

  before(async () => {
    context.session = await startGatewaySession();
  });
  after(() => context.session.stop());

  it('returns its own address from the directory', async () => {
    const addresses = await context.session.fetchAddresses();
    expect(addresses.length).toEqual(1);
  });

  it('forwards a request with the customer name instead of the API key', async () => {
    const answer = await context.session.sendRequest('/orders/new?size=2');
    expect(answer).toEqual({ status: 200, body: 'booked' });
    const call = context.session.calls.at(-1);
    expect(call?.url).toEqual('/orders/new?size=2');
    expect(call?.headers['x-tenant']).toEqual('grower');
    expect(call?.headers.authorization).toEqual(undefined);
    expect(call?.headers['x-expect-instance']).toEqual('i-1');
  });

  const refusals = [
    { name: 'an unknown route', path: '/stock/', key: 'key-1', status: 404 },
    { name: 'an unknown key', path: '/orders/', key: 'key-2', status: 401 },
  ];
  for (const { name, path, key, status } of refusals) {
    it(`refuses ${name} with ${status} and forwards nothing`, async () => {
      const callsBefore = context.session.calls.length;
      const answer = await context.session.sendRequest(path, key);
      expect(answer.status).toEqual(status);
      expect(context.session.calls.length).toEqual(callsBefore);
    });
  }

  // Guards against a process that SIGHUP terminates (temir-feed fresh-b3fb).
  it('keeps serving after SIGHUP and logs that it has read the settings again', async () => {
    context.session.gateway.sendSignal('SIGHUP');
    await context.session.timers.waitFor(300);
    expect((await context.session.sendRequest('/orders/new')).status).toEqual(200);
    expect(readFileSync(context.session.gateway.logFile, 'utf8')).toEqual(
      expect.includes('read the settings again'),
    );
  });

  it('exports counters, latencies and state as metrics', async () => {
    const text = await context.session.fetchMetrics();
    expect(text).toEqual(
      expect.includes('requests_total{outcome="answered",kind="non-idempotent",reason=""}'),
    );
    expect(text).toEqual(expect.includes('first_byte_seconds_bucket{le="0.1",kind='));
    expect(text).toEqual(expect.includes('clementinefork_configuration_version 3'));
    expect(text).toEqual(expect.includes('store_calls_total{operation="list",kind="targets"'));
    expect(text).toEqual(expect.includes('targets{service="order-app",state="usable"} 1'));
  });

  it('keeps serving while the store does not answer', async () => {
    context.session.store.setFault(StoreFault.Silent);
    await context.session.timers.waitFor(1_500);
    expect((await context.session.sendRequest('/orders/new')).status).toEqual(200);
    context.session.store.setFault(StoreFault.None);
  });

  // Guards against a planned stop that interrupts a request (LOST). This test must run last, because
  // it stops the gateway.
  it('finishes the requests in progress after SIGTERM and is not ready meanwhile', async () => {
    context.session.setWorkMs(1_500);
    const answer = context.session.sendRequest('/orders/new');
    await context.session.timers.waitFor(200);
    context.session.gateway.sendSignal('SIGTERM');
    await context.session.timers.waitFor(200);
    expect(await context.session.fetchReadiness()).toEqual(503);
    expect((await answer).status).toEqual(200);
    expect(await context.session.gateway.exited).toEqual(0);
  });
});
