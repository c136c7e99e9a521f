import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { MemberState } from '../rpc/index.ts';
import { selectByRendezvous } from '../rendezvous/index.ts';
import { PROBERS_PER_TARGET } from './consts.ts';
import { createFakeMembership } from './fixtures/fake-membership.ts';
import { createProberAssignment } from './prober-assignment.ts';

const SEED = 20_260_101;
const NAMES = Array.from({ length: 9 }, (_, index) => `entry-${index}`);
const VMS = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];

describe(`createProberAssignment (seed ${SEED})`, () => {
  // Guards against daemons that disagree on the probers because they saw membership changes in
  // different orders.
  it('lists the first candidates of the rendezvous order after any membership changes', () => {
    const change = fc.record({ name: fc.constantFrom(...NAMES), isDead: fc.boolean() });
    const property = fc.property(fc.array(change, { maxLength: 40 }), (changes) => {
      const membership = createFakeMembership('entry-0', NAMES);
      const assignment = createProberAssignment(membership);
      const check = (): boolean => {
        const live = membership.listLiveMembers().map(({ name }) => name);
        return VMS.every((vm) => {
          const expected = selectByRendezvous(vm, live, PROBERS_PER_TARGET);
          return JSON.stringify(assignment.listProbers(vm)) === JSON.stringify(expected);
        });
      };
      return changes.every(({ name, isDead }) => {
        membership.setState(name, isDead ? MemberState.DEAD : MemberState.ALIVE);
        return check();
      });
    });
    expect(() => fc.assert(property, { seed: SEED, numRuns: 200 })).not.toThrow();
  });
});
