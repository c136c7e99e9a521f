import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import type { StandInPlatform } from '../../stand-ins/platform/index.ts';
import { createStandInPlatform } from '../../stand-ins/platform/index.ts';
import { createError, ErrorKind, isServingError } from '../errors/index.ts';
import { createTimerService } from '../timers/index.ts';
import type { ObjectWrite, PlatformClient } from './index.ts';
import { createPlatformClient, WriteOutcome } from './index.ts';

const timers = createTimerService();
/** Generous, because a call can take hundreds of milliseconds on a busy machine. */
const REQUEST_TIMEOUT_MS = 1_000;
const SETTLE_TIMEOUT_MS = 2_000;
/** Longer than the deadlines of a call and of a settlement. */
const LONG_DELAY_MS = 3_000;
const WRITE: ObjectWrite = {
  kind: 'allocation',
  name: 'fabric-1',
  baseVersion: 0,
  writeId: 'ours',
  value: { size: 1 },
};

async function getErrorKind(run: () => Promise<unknown>): Promise<ErrorKind | undefined> {
  try {
    await run();
  } catch (error) {
    if (isServingError(error)) return error.kind;
    throw error;
  }
  return undefined;
}

describe('createPlatformClient', () => {
  let standIn: StandInPlatform;
  let client: PlatformClient;

  beforeEach(async () => {
    standIn = await createStandInPlatform({ address: '127.0.0.1', port: 0, timers });
    client = createPlatformClient({
      address: '127.0.0.1',
      port: standIn.port,
      timers,
      requestTimeoutMs: REQUEST_TIMEOUT_MS,
      settleTimeoutMs: SETTLE_TIMEOUT_MS,
    });
  });
  afterEach(async () => {
    await client.close();
    await standIn.close();
  });

  interface WriteCase {
    title: string;
    prepare: () => void;
    expected: { outcome: WriteOutcome; version: number } | ErrorKind;
    /** Write id of the object afterwards. */
    writeId: string | undefined;
  }

  const writeOther = (): void => {
    standIn.store.writeObject({ ...WRITE, writeId: 'theirs' });
  };

  async function sendWrite(): Promise<unknown> {
    try {
      const { outcome, version } = await client.writeObject(WRITE);
      return { outcome, version };
    } catch (error) {
      return isServingError(error) ? error.kind : error;
    }
  }

  // Guards against a write that is applied twice, or whose outcome is reported wrongly.
  const cases: WriteCase[] = [
    {
      title: 'writes an object',
      prepare: () => undefined,
      expected: { outcome: WriteOutcome.Applied, version: 1 },
      writeId: 'ours',
    },
    {
      title: 'settles a write whose response was lost',
      prepare: () => Object.assign(standIn.faults, { loseWriteAnswers: 1 }),
      expected: { outcome: WriteOutcome.Applied, version: 1 },
      writeId: 'ours',
    },
    {
      title: 'settles a write that takes effect late and was retried',
      prepare: () => Object.assign(standIn.faults, { lateWrites: 1, lateWriteMs: 30 }),
      expected: { outcome: WriteOutcome.Applied, version: 1 },
      writeId: 'ours',
    },
    {
      title: 'reports a conflict with a change that was written first',
      prepare: writeOther,
      expected: { outcome: WriteOutcome.Conflict, version: 1 },
      writeId: 'theirs',
    },
    {
      title: 'fails as undecided when no response is received before the deadline',
      prepare: () => Object.assign(standIn.faults, { down: true }),
      expected: ErrorKind.WriteUndecided,
      writeId: undefined,
    },
    {
      title: 'fails as undecided when responses are later than the deadline',
      prepare: () => Object.assign(standIn.faults, { delayMs: LONG_DELAY_MS }),
      expected: ErrorKind.WriteUndecided,
      writeId: undefined,
    },
  ];

  async function checkWrite(testCase: WriteCase): Promise<void> {
    testCase.prepare();
    const result = await sendWrite();
    expect(result).toEqual(testCase.expected);
    const object = standIn.store.getObject(WRITE.kind, WRITE.name);
    expect(object?.writeId).toEqual(testCase.writeId);
  }

  for (const testCase of cases) it(testCase.title, () => checkWrite(testCase));

  it('settles a delete whose response was lost', async () => {
    await client.writeObject(WRITE);
    standIn.faults.loseWriteAnswers = 1;
    const { kind, name } = WRITE;
    const result = await client.deleteObject({ kind, name, baseVersion: 1, writeId: 'delete' });
    expect(result.outcome).toEqual(WriteOutcome.Applied);
    expect(await client.fetchObject(kind, name)).toEqual(undefined);
  });

  // Guards against reporting an unknown outcome in an outage although nothing was sent.
  it('fails as unavailable when the platform cannot be reached', async () => {
    await standIn.close();
    const kind = await getErrorKind(() => client.writeObject(WRITE));
    expect(kind).toEqual(ErrorKind.PlatformUnavailable);
  });

  it('fails without a retry when the platform refuses a value', async () => {
    const value = 'x'.repeat(1_100_000);
    const kind = await getErrorKind(() => client.writeObject({ ...WRITE, value }));
    expect(kind).toEqual(ErrorKind.PlatformRefused);
  });

  it('fails a read as unavailable at its deadline', async () => {
    standIn.faults.delayMs = LONG_DELAY_MS;
    const kind = await getErrorKind(() => client.listObjects('config'));
    expect(kind).toEqual(ErrorKind.PlatformUnavailable);
  });

  it('keeps a watch open past the deadline of other calls until a change arrives', async () => {
    const watch = client.watchKind(WRITE.kind, 0, 10_000);
    await timers.waitFor(REQUEST_TIMEOUT_MS + 100);
    await client.writeObject(WRITE);
    expect((await watch).objects.map((object) => object.writeId)).toEqual(['ours']);
  });

  it('ends a watch when its signal aborts', async () => {
    const controller = new AbortController();
    const watch = getErrorKind(() => client.watchKind('config', 0, 60_000, controller.signal));
    controller.abort(createError(ErrorKind.UsageInvalid, { problem: 'stopped' }));
    expect(await watch).toEqual(ErrorKind.PlatformUnavailable);
  });

  it('lists VMs', async () => {
    expect(await client.fetchVms()).toEqual([]);
  });
});
