import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import type { ProcessSession } from './process-session.ts';
import { startProcessSession } from './process-session.ts';

describe('controllers as processes', () => {
  let session: ProcessSession;
  before(async () => {
    session = await startProcessSession();
  });
  after(() => session.stop());

  // Guards against a lease holder that is paused, resumed after a takeover, and still acts as holder.
  it('moves the lease from a paused holder, which gives up its role when it is resumed', async () => {
    const initial = await session.fetchDomain();
    if (initial === undefined) throw new Error('no allocation');
    const frozen = session.controllers.get(initial.lease.vm);
    frozen?.sendSignal('SIGSTOP');
    const taken = await session.waitFor('a new lease holder', async () => {
      const domain = await session.fetchDomain();
      return domain !== undefined && domain.lease.epoch > initial.lease.epoch ? domain : undefined;
    });
    expect(taken.lease.vm).not.toEqual(initial.lease.vm);
    frozen?.sendSignal('SIGCONT');
    const observeMs = 3_000;
    await session.timers.waitFor(observeMs);
    const final = await session.fetchDomain();
    expect(final?.lease.vm).toEqual(taken.lease.vm);
    expect(final?.groups.map(({ members, state }) => ({ members, state }))).toEqual(
      initial.groups.map(({ members, state }) => ({ members, state })),
    );
  });
});
