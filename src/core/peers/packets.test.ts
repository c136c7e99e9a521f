import { randomBytes } from 'node:crypto';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { StoreKind } from '../store/index.ts';
import { decodePacket, encodePacket } from './packets.ts';
import type { PeerPacket } from './types.ts';
import { PeerState } from './types.ts';

const SENDER = {
  vmName: 'vm-1',
  incarnation: 1_774_169_559_311,
  callersAddress: '10.0.0.1:80',
  peerAddress: '10.0.0.1:70',
  availabilityZone: 'a',
  capacity: 675,
  linkMbps: 200,
  inProgress: 12,
  memoryShare: 0.25,
  state: PeerState.Leaving,
  hasRequests: true,
  dutyTerm: 3,
};

const DEMAND = {
  key: 's/m',
  requestsPerSecond: 4.5,
  promptTokensPerSecond: 3_000,
  answersPerSecond: 4.25,
  eventsPerSecond: 120.5,
};

const PACKET: PeerPacket = {
  sender: SENDER,
  loadReport: { loads: [{ targetId: 't', inFlight: 4 }], suspectIds: ['s'], demands: [DEMAND] },
  digest: {
    peers: [{ status: { ...SENDER, vmName: 'vm-2' }, ageMs: 120, isLost: true }],
    loads: [{ targetId: 'u', inFlight: 1 }],
    suspectIds: [],
    demands: [DEMAND],
    isComplete: true,
  },
  evidence: {
    crashes: [
      {
        targetKey: 'i-1@5',
        suspects: [
          { customer: 'c', parts: ['s/a', 's/b'] },
          { customer: '', parts: ['s/b'] },
        ],
        ageMs: 30,
      },
    ],
    begins: [{ part: 's/c', ageMs: 500 }],
    notices: [{ parts: ['s/a'], customers: ['c', 'd'], crashes: 4, ageMs: 7_000 }],
  },
  advisories: {
    limits: [
      { targetKey: 'i-1@5', requestsPerSecond: 1.6, statedMs: 12_000 },
      { targetKey: 'i-2@0', requestsPerSecond: undefined, statedMs: 0 },
    ],
    leavingKeys: ['i-3@7'],
  },
  fleetMs: 12_345,
  usage: [
    {
      vmName: 'vm-3',
      incarnation: 1_774_169_559_312,
      window: 353_445_120,
      counts: new Map([
        ['c', 412],
        ['ё', 1],
      ]),
    },
  ],
  progress: [
    {
      kind: StoreKind.Targets,
      era: 4,
      revision: 20,
      changedRevision: 18,
      ageMs: 40,
      sinceRevision: 12,
      changes: [
        {
          object: { name: 'i-1', revision: 17, spec: { zone: 'ё' }, status: undefined },
          isDeleted: false,
          readRevision: 18,
        },
      ],
    },
  ],
};

/** Largest payload of an IPv4 datagram. */
const DATAGRAM_LIMIT_BYTES = 65_507;

describe('packets between gateways', () => {
  // Guards against a gateway that is lost to the others because the system refuses its packets: the
  // changes of the store filled a datagram that had little room left.
  it('fit into a datagram with many loads, much evidence and changes that do not compress', () => {
    const loads = Array.from({ length: 1_000 }, (_, index) => ({
      targetId: `i-${String(index).padStart(10, '0')}`,
      inFlight: 300,
    }));
    const parts = Array.from({ length: 400 }, () => `service/${randomBytes(16).toString('hex')}`);
    const [change] = PACKET.progress[0]!.changes;
    const changes = Array.from({ length: 100 }, (_, index) => ({
      ...change!,
      object: {
        name: `i-${index}`,
        revision: 17,
        spec: randomBytes(280).toString('hex'),
        status: undefined,
      },
    }));
    const bytes = encodePacket({
      ...PACKET,
      loadReport: { ...PACKET.loadReport, loads },
      evidence: {
        crashes: [],
        notices: [],
        begins: parts.map((part) => ({ part, ageMs: 5 })),
      },
      progress: [{ ...PACKET.progress[0]!, changes }],
    });
    expect(bytes.length <= DATAGRAM_LIMIT_BYTES).toEqual(true);
    const decoded = decodePacket(bytes);
    expect(decoded.loadReport.loads.length).toEqual(1_000);
    // The followers learn that changes are missing, and read the store.
    expect(decoded.progress[0]?.sinceRevision).toEqual(18);
  });

  it('are decoded as they were encoded', () => {
    const decoded = decodePacket(encodePacket(PACKET));
    const [change] = decoded.progress[0]?.changes ?? [];
    expect(change?.object.spec).toEqual({ zone: 'ё' });
    expect(decoded.sender).toEqual(PACKET.sender);
    expect(decoded.loadReport).toEqual(PACKET.loadReport);
    expect(decoded.digest).toEqual(PACKET.digest);
    expect(decoded.evidence).toEqual(PACKET.evidence);
    expect(decoded.progress[0]?.sinceRevision).toEqual(12);
  });

  // Guards against datagrams over 64 KB, which no socket sends; receivers read the store instead.
  it('omit changes that are too large', () => {
    const [progress] = PACKET.progress;
    if (progress === undefined) throw new Error('no progress');
    // Random text does not compress.
    const spec = randomBytes(100_000).toString('base64');
    const object = { name: 'main', revision: 17, spec, status: undefined };
    const changes = [{ object, isDeleted: false, readRevision: 18 }];
    const bytes = encodePacket({ ...PACKET, progress: [{ ...progress, changes }] });
    expect(bytes.length < 1_000).toEqual(true);
    const [decoded] = decodePacket(bytes).progress;
    expect(decoded?.sinceRevision).toEqual(decoded?.changedRevision);
  });

  // Guards against gaps in every gateway's copy whenever many engines change at once: 195 gateways
  // then called the store themselves (rodopi-wax-large).
  it('carry the changes of 300 targets in one datagram, the last one of each', () => {
    const [progress] = PACKET.progress;
    if (progress === undefined) throw new Error('no progress');
    const buildSpec = (index: number, state: string): object => ({
      service: 'assistant-llm',
      address: `10.1.64.${index}:8041`,
      models: [{ name: 'model-a', version: 1, adapters: [] }],
      group: { name: `g${index % 40}`, epoch: index % 40, rank: index % 8, state },
      born: 1_777_973_030_939 + index,
    });
    const changes = Array.from({ length: 600 }, (_, index) => ({
      object: {
        name: `i-${index % 300}`,
        revision: 100 + index,
        spec: buildSpec(index % 300, index < 300 ? 'joining' : 'ready'),
        status: undefined,
      },
      isDeleted: false,
      readRevision: 800,
    }));
    const bytes = encodePacket({ ...PACKET, progress: [{ ...progress, changes }] });
    expect(bytes.length < 20_000).toEqual(true);
    const [decoded] = decodePacket(bytes).progress;
    expect(decoded?.sinceRevision).toEqual(progress.sinceRevision);
    expect(decoded?.changes.length).toEqual(300);
    expect(decoded?.changes[7]?.object.spec).toEqual(buildSpec(7, 'ready'));
  });

  // Guards against a crash when another program sends bytes to the port.
  it('rejects bytes that are not a packet', () => {
    expect(() => decodePacket(Buffer.from('not a packet'))).toThrow();
    expect(() => decodePacket(new Uint8Array())).toThrow();
  });
});
