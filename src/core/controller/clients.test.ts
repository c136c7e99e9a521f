import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { createRouterTransport, createClient } from '@connectrpc/connect';
import { expect } from 'earl';
import { createAllocation } from '../allocation/index.ts';
import { MemberSchema, MemberState, PeerService } from '../rpc/index.ts';
import type { ReportLeasesRequest } from '../rpc/index.ts';
import { createTimerService } from '../timers/index.ts';
import type { EngineOrder } from '../domain-types/index.ts';
import { createDaemonClient } from './daemon-client.ts';
import { createEngineControlClient } from './engine-control-client.ts';

const ORDER: EngineOrder = {
  epoch: 3,
  group: 'assistant-0',
  generation: 7,
  rank: 0,
  size: 1,
  leader: '127.0.0.1:9000',
  members: ['vm-1'],
  model: 'm',
  modelVersion: '1',
};
const TIMEOUT_MS = 200;

interface OrderCase {
  title: string;
  /** HTTP status of the response; undefined for no response. */
  status: number | undefined;
  expected: string;
}

// Guards against an unanswered order that is treated as accepted or as refused for a stale epoch.
const orderCases: OrderCase[] = [
  { title: 'accepts 200', status: 200, expected: 'accepted' },
  { title: 'reports a stale epoch', status: 409, expected: 'stale-epoch' },
  { title: 'fails on another status', status: 500, expected: 'failed' },
  { title: 'fails without a response', status: undefined, expected: 'failed' },
];

describe('createEngineControlClient', () => {
  for (const testCase of orderCases) {
    it(testCase.title, async () => {
      const server = createServer((_request, response) => {
        if (testCase.status === undefined) return;
        response.writeHead(testCase.status).end('{}');
      });
      await new Promise<void>((resolve) => {
        server.listen(0, '127.0.0.1', resolve);
      });
      const client = createEngineControlClient({
        timers: createTimerService(),
        orderTimeoutMs: TIMEOUT_MS,
        statusTimeoutMs: TIMEOUT_MS,
      });
      const { port } = server.address() as AddressInfo;
      const target = { vm: 'vm-1', address: '127.0.0.1', port };
      const outcome = await client.sendOrder(target, ORDER).catch(() => 'failed');
      await client.close();
      server.closeAllConnections();
      server.close();
      expect(String(outcome)).toEqual(testCase.expected);
    });
  }
});

describe('createDaemonClient', () => {
  // Guards against a leaving daemon that becomes a candidate: its controller would release the
  // lease immediately.
  it('delivers the report and returns the members that are not leaving', async () => {
    const states = [MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING];
    const members = states.map((state) => create(MemberSchema, { name: `entry-${state}`, state }));
    const requests: ReportLeasesRequest[] = [];
    const transport = createRouterTransport(({ service }) => {
      service(PeerService, {
        reportLeases(request) {
          requests.push(request);
          return { members };
        },
      });
    });
    const client = createDaemonClient('entry-1', createClient(PeerService, transport));
    const allocation = createAllocation('fd-a', {
      holder: 'entry-1/1',
      vm: 'entry-1',
      durationMs: 30_000,
    });
    const names = await client.sendReport({
      leases: [{ fabricDomain: 'fd-a', epoch: 1, validMs: 20_000, grantDelayMs: 0 }],
      allocations: [{ version: 4, allocation }],
      events: [],
    });
    expect(names).toEqual([`entry-${MemberState.ALIVE}`, `entry-${MemberState.SUSPECT}`]);
    expect(requests.map(({ leases }) => leases.map(({ epoch }) => epoch))).toEqual([[1n]]);
    expect(requests.map(({ documents }) => documents.map(({ version }) => version))).toEqual([
      [4n],
    ]);
  });
});
