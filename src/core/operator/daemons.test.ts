import { afterEach, beforeEach, describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { expect } from 'earl';
import { ExitStatus } from '../process/index.ts';
import { EventSchema, MemberState } from '../rpc/index.ts';
import { readTextFile } from '../settings/index.ts';
import { createTimerService } from '../timers/index.ts';
import type { OperatorSession } from './fixtures/session.ts';
import { createOperatorSession } from './fixtures/session.ts';
import { buildMember, buildStatus } from './fixtures/status.ts';

const TIMERS = createTimerService();

/** A port that refuses connections. */
const CLOSED_PORT = 1;

function createEvent(process: string, wallMs: number, kind: string, request: string) {
  return create(EventSchema, {
    wallMs: BigInt(wallMs),
    process,
    sequence: BigInt(wallMs),
    part: 'calls',
    kind,
    attributes: [{ name: 'request', value: request }],
  });
}

describe('clementinefork with daemons', () => {
  let session: OperatorSession;
  /** Configuration version that the second daemon reports. */
  let secondVersion = 1;
  let otherMembers = [buildMember('entry-9', CLOSED_PORT, MemberState.DEAD)];

  beforeEach(async () => {
    session = await createOperatorSession();
    secondVersion = 1;
    otherMembers = [];
    // Only the first daemon is in the settings; its member list contains the second one.
    const secondPort = await session.startDaemon(
      {
        getStatus: () => buildStatus('entry-2', secondVersion),
        readTimeline: () => ({
          events: [createEvent('entry-2', 20, 'forwarded', 'r-1')],
        }),
      },
      false,
    );
    await session.startDaemon({
      getStatus: () =>
        buildStatus('entry-1', 1, {
          members: [buildMember('entry-2', secondPort, MemberState.ALIVE), ...otherMembers],
        }),
      readTimeline: () => ({
        events: [
          createEvent('entry-1', 10, 'received', 'r-1'),
          createEvent('entry-1', 30, 'done', 'r-1'),
          createEvent('entry-1', 40, 'received', 'r-2'),
        ],
      }),
    });
    await session.run('apply @site.yaml --base 0');
  });
  afterEach(() => session.close());

  it('reports a change as settled when every daemon has it', async () => {
    const { out, status } = await session.run('status --wait');
    expect(out).toEqual(expect.includes('All 2 daemons have version 1. No change is half-way.'));
    expect(status).toEqual(ExitStatus.Success);
  });

  // Guards against a status that hides a daemon which still serves the old configuration.
  it('names the daemon that is behind', async () => {
    secondVersion = 0;
    const { out, status } = await session.run('status');
    expect(out).toEqual(
      expect.includes('Version 1 is half-way: 1 of 2 daemons have it; missing: entry-2 (0).'),
    );
    expect(status).toEqual(ExitStatus.Success);
  });

  it('fails when a daemon is still behind at the end of the timeout', async () => {
    secondVersion = 0;
    const { error, status } = await session.run('status --wait --timeout 1');
    expect(error).toEqual(expect.includes('1 daemons do not report version 1'));
    expect(status).toEqual(ExitStatus.Failure);
  });

  it('waits until the last daemon has the version', async () => {
    secondVersion = 0;
    const waiting = session.run('status --wait --timeout 20');
    while (session.standIn.counters.vmLists === 0) await TIMERS.waitFor(1);
    secondVersion = 1;
    expect((await waiting).status).toEqual(ExitStatus.Success);
  });

  it('names a member that does not answer', async () => {
    otherMembers = [buildMember('entry-9', CLOSED_PORT, MemberState.SUSPECT)];
    const { out } = await session.run('status');
    expect(out).toEqual(expect.includes('missing: entry-9 (no answer)'));
  });

  it('does not wait for a dead member without a VM', async () => {
    otherMembers = [buildMember('entry-9', CLOSED_PORT, MemberState.DEAD)];
    const { out } = await session.run('status');
    expect(out).toEqual(expect.includes('All 2 daemons have version 1.'));
  });

  it('does not report a change as settled during an outage of the object API', async () => {
    session.standIn.faults.down = true;
    const { out } = await session.run('status');
    expect(out).toEqual(expect.includes('a newer version may be in force'));
  });

  // Guards against a timeline that lists an effect before its cause.
  it('merges the events of all daemons and selects a request', async () => {
    const { out } = await session.run('timeline --request r-1');
    const kinds = out
      .trim()
      .split('\n')
      .map((line) => line.split(' ').slice(1, 4).join(' '));
    expect(kinds).toEqual([
      'entry-1 calls: received',
      'entry-2 calls: forwarded',
      'entry-1 calls: done',
    ]);
  });

  it('merges a file with events of running daemons without duplicates', async () => {
    const { out } = await session.run('timeline --json');
    session.writeFile('events.json', out);
    const again = await session.run('timeline --json --file @events.json');
    expect(again.out).toEqual(out);
    const offline = await session.run('timeline --json --offline --file @events.json');
    expect(offline.out).toEqual(out);
  });

  it('warns about daemons whose events are missing', async () => {
    otherMembers = [buildMember('entry-9', CLOSED_PORT, MemberState.SUSPECT)];
    const { error, status } = await session.run('timeline');
    expect(error).toEqual(expect.includes('Warning: the events of entry-9 are missing'));
    expect(status).toEqual(ExitStatus.Success);
  });

  it('writes an HTML page', async () => {
    await session.run('timeline --html @page.html');
    const page = readTextFile(session.getPath('page.html'));
    expect(page).toEqual(expect.includes('4 events of 2 processes'));
  });

  it('names the line of a file that is not JSON', async () => {
    session.writeFile('events.ndjson', '{"kind":\n');
    const { error, status } = await session.run('timeline --offline --file @events.ndjson');
    expect(error).toEqual(expect.includes('line 1 is not JSON'));
    expect(status).toEqual(ExitStatus.Invalid);
  });
});
