import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { CallerRequest, CallerSink, ForwardingDependencies } from '../forwarding/index.ts';
import type { ServingConfiguration } from '../serving/index.ts';
import type { RequestLog } from './request-log.ts';
import { createRequestHandler } from './request-handler.ts';
import { buildRoutingTable } from './routing-table.ts';

const TABLE = buildRoutingTable({
  version: 40,
  routes: [{ host: 'a.example', pathPrefix: '/known/', isAnonymousAllowed: false }],
  services: [],
  customers: [{ name: 'c', keys: ['key'] }],
} as unknown as ServingConfiguration);

/** Returns the status with which a request is refused before its body is read; undefined if it is not. */
function refuseRequest(
  request: Partial<CallerRequest>,
  isConfigurationCurrent: boolean,
): number | undefined {
  let sent: number | undefined;
  const sink = {
    sendResponse(status: number) {
      sent = status;
    },
  } as unknown as CallerSink;
  const handler = createRequestHandler({
    requestLog: { recordRefusal: () => undefined } as unknown as RequestLog,
    getRoutingTable: () => TABLE,
    recordBegin: () => undefined,
    isConfigurationCurrent: () => isConfigurationCurrent,
    isRefusing: () => false,
    forwardingDependencies: {
      wire: { buildRetryHeaders: () => [] },
    } as unknown as ForwardingDependencies,
  });
  handler.refuseUnread(
    { host: 'a.example', path: '/known/x', key: 'key', ...request } as never,
    sink,
  );
  return sent;
}

describe('refusal of a request', () => {
  const cases: {
    name: string;
    request: Partial<CallerRequest>;
    status?: number;
    stale?: number;
  }[] = [
    { name: 'that is allowed', request: {} },
    { name: 'to no route', request: { path: '/added/x' }, status: 404, stale: 503 },
    { name: 'to no host', request: { host: 'b.example' }, status: 404, stale: 503 },
    { name: 'with an unknown key', request: { key: 'added' }, status: 401, stale: 503 },
  ];
  for (const { name, request, status, stale } of cases) {
    it(`says what the configuration says of one ${name}`, () => {
      expect(refuseRequest(request, true)).toEqual(status);
    });

    // Guards against 404 and 401 from a gateway that cannot have heard of the route or key (CONFIG).
    it(`does not rely on a configuration that may be outdated for one ${name}`, () => {
      expect(refuseRequest(request, false)).toEqual(stale);
    });
  }
});
