import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createConnection } from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { readRequestBody } from '../../src/core/gateway/request-body.ts';
import { createMemoryBudget } from '../../src/core/memory/index.ts';
import { createTimerService } from '../../src/core/timers/index.ts';
import { measureHeapBytes } from './measure-heap.ts';

const CHUNKS = 500_000;
const MAX_BYTES = 8 * 1024 * 1024;
const CHUNK = '1\r\nx\r\n';
const BATCH = 10_000;

describe('bodies in chunks of one byte', () => {
  // Guards against a caller that fills the heap with the smallest chunks while its body is small: the
  // budget counts the bytes of bodies.
  it('take as much memory as the budget counts, and twice that at most', async () => {
    const timers = createTimerService();
    const budget = createMemoryBudget(MAX_BYTES);
    const account = budget.openAccount(0)!;
    let receivedBytes = 0;
    const server = createServer((request) => {
      request.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
      });
      const options = { account, maxBytes: MAX_BYTES, limitMs: 60_000, timers };
      readRequestBody(request, options, () => undefined);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const socket = createConnection(port, '127.0.0.1');
    socket.on('error', () => undefined);
    const startBytes = measureHeapBytes() + process.memoryUsage().arrayBuffers;
    socket.write('POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n');
    for (let sent = 0; sent < CHUNKS; sent += BATCH) {
      await new Promise<void>((resolve) => {
        socket.write(CHUNK.repeat(BATCH), () => resolve());
      });
    }
    for (let tries = 0; tries < 500 && receivedBytes < CHUNKS; tries++) await timers.waitFor(10);
    expect(receivedBytes).toEqual(CHUNKS);
    const grownBytes = measureHeapBytes() + process.memoryUsage().arrayBuffers - startBytes;
    socket.destroy();
    server.close();
    // Besides, the connection has buffers of its own.
    expect(grownBytes < 2 * budget.getHeldBytes() + 1_000_000).toEqual(true);
  });
});
