import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { buildGroups } from '../core/fleet/groups.ts';
import { createEventParser } from '../core/forwarding/event-parser.ts';
import { decodeConfiguration } from './decode-configuration.ts';
import { decodeTarget } from './decode-target.ts';
import { platformWireFormat } from './wire-format.ts';

const RUNS = { numRuns: 10_000 };

const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'a',
  state: 'ready',
  cold_remaining_ms: 0,
  models: [{ name: 'm' }],
  staged: ['m'],
  group: { name: 'g1', epoch: 1, rank: 0, state: 'open' },
  domain: 'd',
};

/** A value of a kind that another writer may have stored in a field. */
const anyValue = fc.oneof(
  fc.constantFrom<unknown>(null, -1, 0.5, 2 ** 32, 2 ** 53, 1e308, '', 'x', true, [], {}, [null]),
  fc.jsonValue(),
);

/** Replaces some fields of a sound object, also within `group`. */
function buildMutations(sound: object): fc.Arbitrary<object> {
  return fc
    .array(fc.tuple(fc.constantFrom(...Object.keys(sound)), anyValue), { maxLength: 3 })
    .map((changes) => ({ ...sound, ...Object.fromEntries(changes) }));
}

// Each guards against one stored object or response that ends a process or stops a watch.
describe('malformed input of the platform', () => {
  it('decodes any entry of a target, or none, and builds its groups', () => {
    const groups = buildMutations(ENTRY.group);
    const entries = fc.oneof(
      buildMutations(ENTRY),
      groups.map((group) => ({ ...ENTRY, group })),
      anyValue,
    );
    fc.assert(
      fc.property(entries, (spec) => {
        const target = decodeTarget({ name: 'i', revision: 1, spec, status: null }, 0);
        if (target === undefined) return;
        const [group] = buildGroups([target]);
        if (group !== undefined) expect(group.membersByRank.length <= 1_024).toEqual(true);
      }),
      RUNS,
    );
  });

  it('decodes any configuration, or names its problem', () => {
    const sound = { version: 1, routes: [], services: [], limits: {}, tenants: [] };
    fc.assert(
      fc.property(fc.oneof(buildMutations(sound), anyValue), (spec) => {
        decodeConfiguration(spec);
      }),
      RUNS,
    );
  });

  it('parses any header fields of callers and targets', () => {
    const names = fc.constantFrom('Connection', 'X-Deadline-Ms', 'Authorization', 'X-Token-Usage');
    const fields = fc.array(fc.oneof(names, fc.string({ unit: 'binary' })), { maxLength: 9 });
    fc.assert(
      fc.property(fields, (list) => {
        const request = platformWireFormat.parseRequest('GET', '/', list);
        expect(Number.isNaN(request.deadlineMs)).toEqual(false);
        platformWireFormat.parseResponseHead(200, list);
      }),
      RUNS,
    );
  });

  it('splits any bytes of a stream without losing one', () => {
    const byte = fc.constantFrom(0x0a, 0x0d, 0x3a, 0x69, 0x64, 0xff);
    const chunks = fc.array(fc.array(byte, { maxLength: 6 }), { maxLength: 8 });
    fc.assert(
      fc.property(chunks, (list) => {
        const parser = createEventParser();
        const events = list.flatMap((bytes) => parser.addChunk(Buffer.from(bytes)));
        const length = events.reduce((total, { bytes }) => total + bytes.length, 0);
        expect(length + parser.countPendingBytes()).toEqual(list.flat().length);
      }),
      RUNS,
    );
  });
});
