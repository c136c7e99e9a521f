import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Target } from '../core/fleet/index.ts';
import { OrderResult } from '../core/formation/types.ts';
import { createTimerService } from '../core/timers/index.ts';
import { createEngineControl } from './engine-control.ts';

describe('engine control', () => {
  // Guards against an order that a partition holds back and delivers seconds later, when newer orders
  // have been carried out (rule TWO, temir-feed trouble-3 899726816220).
  it('resets the connection of an order without a response', async () => {
    const ends: string[] = [];
    const server = createServer((socket) => {
      socket.on('data', () => undefined);
      socket.on('end', () => ends.push('end'));
      socket.on('error', (error: NodeJS.ErrnoException) => ends.push(error.code ?? ''));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const timers = createTimerService();
    const control = createEngineControl(timers);
    const target = { id: 'i-1', address: `127.0.0.1:${port}` } as Target;
    const result = await control.sendOrder(target, { kind: 'open', group: 'g1', epoch: 1 });
    await timers.waitFor(50);
    server.close();
    expect(result).toEqual(OrderResult.Unknown);
    expect(ends).toEqual(['ECONNRESET']);
  });

  // Guards against bytes that are no answer, which are taken for a refusal of an order that may be carried
  // out (MIXED).
  const answers = [
    { status: '202', expected: OrderResult.Accepted },
    { status: '409', expected: OrderResult.Refused },
    { status: '599', expected: OrderResult.Refused },
    { status: '600', expected: OrderResult.Unknown },
    { status: '999', expected: OrderResult.Unknown },
    { status: '099', expected: OrderResult.Unknown },
    { status: '1000', expected: OrderResult.Unknown },
  ];
  for (const { status, expected } of answers) {
    it(`takes status ${status} of an order for ${expected}`, async () => {
      const server = createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => socket.end(`HTTP/1.1 ${status} X\r\nContent-Length: 0\r\n\r\n`));
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const { port } = server.address() as AddressInfo;
      const control = createEngineControl(createTimerService());
      const target = { id: 'i-1', address: `127.0.0.1:${port}` } as Target;
      const result = await control.sendOrder(target, { kind: 'open', group: 'g1', epoch: 1 });
      server.close();
      expect(result).toEqual(expected);
      expect(await control.queryState(target, 500)).toEqual(undefined);
    });
  }
});
