import { describe, it } from 'node:test';
import { expect } from 'earl';
import { request } from 'undici';
import type { CallerLocation } from '../core/directory/index.ts';
import { findFreePorts } from '../demo/free-ports.ts';
import { startAuxiliaryServers } from './auxiliary-servers.ts';

const HOST = '127.0.0.1';
const UNKNOWN = { availabilityZone: undefined, region: undefined };

/** Starts the servers and queries the directory; returns the status and what was asked of it. */
async function queryDirectory(query: string) {
  const callers: CallerLocation[] = [];
  const [directory = 0, readiness = 0, metrics = 0] = await findFreePorts(3);
  const servers = await startAuxiliaryServers({
    directory: { host: HOST, port: directory },
    readiness: { host: HOST, port: readiness },
    metrics: { host: HOST, port: metrics },
    waitForPort: (_address, listen) => listen(),
    getDirectoryResponse(caller) {
      callers.push(caller);
      return { callersAddresses: ['10.0.0.1:80'], ttlMs: 2_000 };
    },
    isReady: () => true,
    renderMetrics: async () => '',
    limitConnections: () => undefined,
    handleProblem: (problem) => expect(problem).toEqual(''),
  });
  try {
    const { statusCode, body } = await request(`http://${HOST}:${directory}/resolve${query}`);
    return { statusCode, body: await body.json(), callers };
  } finally {
    await servers.close();
  }
}

describe('query of the directory', () => {
  const cases: { name: string; query: string; caller: CallerLocation }[] = [
    {
      name: 'a zone and a region',
      query: '?name=a.example&region=r&zone=r-a',
      caller: { availabilityZone: 'r-a', region: 'r' },
    },
    { name: 'nothing', query: '', caller: UNKNOWN },
    { name: 'empty names', query: '?zone=&region=', caller: UNKNOWN },
    {
      name: 'two zones',
      query: '?zone=r-a&zone=r-b&region=r',
      caller: { availabilityZone: undefined, region: 'r' },
    },
    {
      name: 'a name that is no text',
      query: '?zone=%ff',
      caller: { availabilityZone: '%ff', region: undefined },
    },
  ];
  for (const { name, query, caller } of cases) {
    // Guards against callers without an answer because of what they say of themselves.
    it(`is answered with ${name}`, async () => {
      expect(await queryDirectory(query)).toEqual({
        statusCode: 200,
        body: { addresses: ['10.0.0.1:80'], ttl_s: 2 },
        callers: [caller],
      });
    });
  }
});
