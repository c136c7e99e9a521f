import { create } from '@bufbuild/protobuf';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  createPeerLinks,
  createPeerServer,
  TargetReportSchema,
  TargetState,
  WatchTargetsRequestSchema,
} from '../rpc/index.ts';
import { createTimerService } from '../timers/index.ts';
import type { ObservedReport, Prober } from './index.ts';
import { createWatchTargetsHandler } from './index.ts';

function buildObserved(state: TargetState, observedMs: number): ObservedReport {
  const report = create(TargetReportSchema, { vm: 'vm-1', state, instanceId: 'i-1' });
  return { report, observedMs };
}

describe('createWatchTargetsHandler', () => {
  // Guards against a handler that works with the fakes but not over a real connection.
  it('streams the current report and a state change over a connection', async () => {
    const timers = createTimerService();
    const listeners = new Set<(observed: ObservedReport) => void>();
    const prober: Prober = {
      findReport: () => undefined,
      listReports: () => [buildObserved(TargetState.WARM, timers.getMonotonicMs())],
      subscribe(listener) {
        listeners.add(listener);
        return () => listeners.delete(listener);
      },
      start: () => {},
      stop: () => {},
    };
    const handlers = { watchTargets: createWatchTargetsHandler(prober, timers) };
    const server = await createPeerServer({ address: '127.0.0.1', port: 0, handlers, timers });
    const links = createPeerLinks();
    const abort = new AbortController();
    const client = links.getClient('127.0.0.1', server.port);
    const request = create(WatchTargetsRequestSchema, { daemon: 'entry-1', vms: ['vm-1'] });
    const states: TargetState[] = [];
    for await (const { reports } of client.watchTargets(request, { signal: abort.signal })) {
      states.push(...reports.map(({ state }) => state));
      if (states.length === 2) break;
      const observed = buildObserved(TargetState.UNREACHABLE, timers.getMonotonicMs());
      listeners.forEach((listener) => listener(observed));
    }
    expect(states).toEqual([TargetState.WARM, TargetState.UNREACHABLE]);
    abort.abort();
    links.close();
    await server.close();
    expect(listeners.size).toEqual(0);
  });
});
