import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import { createTimerService } from '../../core/timers/index.ts';
import { createStandInService, serviceSettingsSchema } from './index.ts';
import type { StandInService } from './index.ts';

const timers = createTimerService();

async function startService(behaviour: object): Promise<StandInService> {
  const settings = serviceSettingsSchema.parse({
    behaviour: { workMs: 5, coldMs: 0, ...behaviour },
    targets: [{ vm: 'order-1', address: '127.0.0.1', port: 0 }],
  });
  const service = createStandInService(settings, timers);
  await service.start();
  return service;
}

async function sendBooking(service: StandInService, requestId: string): Promise<number> {
  const response = await request(`http://127.0.0.1:${service.targets[0]?.port}/bookings`, {
    method: 'POST',
    headers: { 'content-type': 'application/json', 'x-request-id': requestId },
    body: JSON.stringify({ item: 'kibble', quantity: 3 }),
  });
  await response.body.dump();
  return response.statusCode;
}

describe('createStandInService', () => {
  let service: StandInService | undefined;

  afterEach(async () => {
    await service?.stop();
    service = undefined;
  });

  // Rule I7: a booking runs at most once. The stand-in must make a duplicate execution visible.
  it('counts the executions of each request id', async () => {
    service = await startService({});
    await sendBooking(service, 'a');
    await sendBooking(service, 'b');
    await sendBooking(service, 'b');
    const runs = service.bookings.listBookings().map((booking) => booking.runs);
    expect(runs).toEqual([1, 2]);
  });

  it('executes a call whose response is lost', async () => {
    service = await startService({});
    service.targets[0]?.applyFaults({ loseAnswers: 1 });
    await expect(sendBooking(service, 'a')).toBeRejected();
    expect(service.bookings.listBookings().map((booking) => booking.runs)).toEqual([1]);
  });

  it('fails when it is overloaded while cold, and executes none of the calls', async () => {
    service = await startService({ coldMs: 60_000, coldLimit: 1, workMs: 50 });
    const target = service;
    const calls = ['a', 'b'].map((id) => sendBooking(target, id));
    expect(await Promise.all(calls)).toEqual([503, 503]);
    expect(service.targets[0]?.state.countOverloads()).toEqual(1);
    expect(service.bookings.listBookings()).toEqual([]);
  });

  it('reads stock', async () => {
    service = await startService({ stock: { kibble: 840 } });
    const url = `http://127.0.0.1:${service.targets[0]?.port}/stock/kibble`;
    const response = await request(url);
    expect(await response.body.json()).toEqual({ item: 'kibble', quantity: 840 });
  });
});
