import { describe, it } from 'node:test';
import { expect } from 'earl';
import { isLocalFault } from './is-local-fault.ts';

describe('cause of a failed connection', () => {
  const cases = [
    { code: 'EMFILE', isLocal: true },
    { code: 'ENFILE', isLocal: true },
    { code: 'EADDRNOTAVAIL', isLocal: true },
    { code: 'ECONNREFUSED', isLocal: false },
    { code: 'ECONNRESET', isLocal: false },
    { code: 'EHOSTUNREACH', isLocal: false },
    { code: undefined, isLocal: false },
  ];
  for (const { code, isLocal } of cases) {
    it(`${isLocal ? 'does not blame' : 'blames'} the peer for ${code ?? 'an error without code'}`, () => {
      expect(isLocalFault(Object.assign(new Error('failed'), { code }))).toEqual(isLocal);
    });
  }
});
