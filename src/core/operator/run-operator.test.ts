import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { ExitStatus } from '../process/index.ts';
import { RequestKind } from '../serving/index.ts';
import { readTextFile } from '../settings/index.ts';
import type { OperatorSession, RunResult } from './fixtures/session.ts';
import { createOperatorSession, SETTLE_TIMEOUT_MS } from './fixtures/session.ts';

let session: OperatorSession;

beforeEach(async () => {
  session = await createOperatorSession();
});
afterEach(() => session.close());

/** Runs the command lines one after the other and returns the result of the last one. */
async function runCommandLines(lines: readonly string[]): Promise<RunResult> {
  let result: RunResult = { status: ExitStatus.Success, out: '', error: '' };
  for (const line of lines) result = await session.run(line);
  return result;
}

/** Writes a copy of `site.yaml` in which one text is replaced. */
function writeVariant(name: string, from: string, to: string): void {
  const text = readTextFile(session.getPath('site.yaml'));
  expect(text.includes(from)).toEqual(true);
  session.writeFile(name, text.replace(from, to));
}

/** Writes a configuration of the gateways with one route; the timeout decides whether it is sound. */
function writeServingConfiguration(name: string, version: number, timeoutMs: number): void {
  const route = {
    name: 'quote',
    host: 'orders.example',
    pathPrefix: '/quote/',
    kind: RequestKind.Idempotent,
    timeoutMs,
    latencyObjectiveMs: 400,
    priority: 1,
    services: [{ service: 'booking', weight: 1 }],
    maxAttempts: 2,
    isAnonymousAllowed: true,
    isResumable: false,
  };
  const limits = { maxHeaderBytes: 16_384, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 };
  const services = [{ name: 'booking', coldRequestsPerSecond: 0 }];
  session.writeFile(name, JSON.stringify({ version, routes: [route], services, limits }));
}

interface Case {
  title: string;
  lines: string[];
  prepare?: () => void;
  status: ExitStatus;
  /** Texts that standard output of the last run must contain. */
  out?: string[];
  /** Texts that standard error of the last run must contain; empty output if undefined. */
  error?: string[];
}

const FIRST_APPLY = 'apply @site.yaml --base 0 --note first';

// Guards against an exit status or message that misleads the operator about the result.
const cases: Case[] = [
  {
    title: 'validates a declaration',
    lines: ['validate @site.yaml'],
    status: ExitStatus.Success,
    out: ['is valid', 'servingGroups: 2'],
  },
  {
    title: 'refuses an invalid declaration with file, path and line',
    prepare: () => writeVariant('bad.yaml', 'service: order-app }', 'service: order-ap }'),
    lines: ['validate @bad.yaml'],
    status: ExitStatus.Invalid,
    error: ['bad.yaml: routes[1].service (line 30): unknown service', 'mean "order-app"?'],
  },
  {
    title: 'reports an error as JSON',
    lines: ['validate @missing.yaml --json'],
    status: ExitStatus.Invalid,
    error: ['"kind": "settings-unreadable"'],
  },
  {
    title: 'finds nothing in a sound configuration, and shows what differs from the one in force',
    prepare: () => {
      writeServingConfiguration('next.json', 8, 6_000);
      writeServingConfiguration('now.json', 7, 8_000);
    },
    lines: ['check @next.json --in-force @now.json'],
    status: ExitStatus.Success,
    out: ['changed: routes/quote (timeoutMs)', '0 errors, 0 warnings'],
  },
  {
    title: 'fails the check of a configuration with errors, in a form for scripts',
    prepare: () => writeServingConfiguration('next.json', 8, 300),
    lines: ['check @next.json --json'],
    status: ExitStatus.Invalid,
    out: ['"errors": 1', '"kind": "limits"', '"path": "routes/quote"'],
    error: ['"kind": "configuration-invalid"'],
  },
  {
    title: 'fails the check of a version that gateways would ignore',
    prepare: () => writeServingConfiguration('next.json', 7, 6_000),
    lines: ['check @next.json --in-force @next.json'],
    status: ExitStatus.Invalid,
    out: ['error: version: version 7 is not higher than 7'],
    error: ['1 of 1 findings are errors'],
  },
  {
    title: 'says that the store does not tell the version in force',
    prepare: () => writeServingConfiguration('next.json', 8, 6_000),
    lines: ['check @next.json --store 127.0.0.1:1'],
    status: ExitStatus.Invalid,
    error: ['cannot be read from 127.0.0.1:1', 'is silent'],
  },
  {
    title: 'shows the changes and the version for --base',
    lines: ['diff @site.yaml'],
    status: ExitStatus.Success,
    out: ['+ limits/nursery', '13 rows differ', '--base 0'],
  },
  {
    title: 'applies a declaration',
    lines: [FIRST_APPLY],
    status: ExitStatus.Success,
    out: ['The change is version 1'],
  },
  {
    title: 'refuses to apply without a base version',
    lines: ['apply @site.yaml'],
    status: ExitStatus.Invalid,
    error: ['clementinefork diff'],
  },
  {
    title: 'reports that nothing changes',
    lines: [FIRST_APPLY, 'apply @site.yaml --base 1'],
    status: ExitStatus.Success,
    out: ['Nothing to change; version 1'],
  },
  {
    title: 'lists the history with operator and note',
    lines: [FIRST_APPLY, 'zone out sofia-b --operator boris', 'history'],
    status: ExitStatus.Success,
    out: ['Version in force: 2.', 'boris', 'availabilityZones/sofia-b', 'ana  "first"'],
  },
  {
    title: 'warns when the last zone of a region is taken out',
    lines: [FIRST_APPLY, 'zone out sofia-a', 'zone out sofia-b', 'zone out sofia-c'],
    status: ExitStatus.Success,
    out: ['state: "in" -> "out"'],
    error: ['no availability zone of region sofia is in service'],
  },
  {
    title: 'suggests a zone for an unknown name',
    lines: [FIRST_APPLY, 'zone out sofiaa'],
    status: ExitStatus.Invalid,
    error: ['Unknown availability zone "sofiaa"; did you mean "sofia-a"?'],
  },
  {
    title: 'determines the outcome of a write whose response was lost',
    prepare: () => Object.assign(session.standIn.faults, { loseWriteAnswers: 1 }),
    lines: [FIRST_APPLY],
    status: ExitStatus.Success,
    out: ['The change is version 1'],
  },
  {
    title: 'fails during an outage of the object API',
    prepare: () => Object.assign(session.standIn.faults, { down: true }),
    lines: ['get'],
    status: ExitStatus.Failure,
    error: ['Serving continues without it'],
  },
  {
    title: 'prints the write id when the outcome is unknown',
    prepare: () => Object.assign(session.standIn.faults, { lateWrites: 99, lateWriteMs: 60_000 }),
    lines: [FIRST_APPLY],
    status: ExitStatus.Undecided,
    error: ['Run the same command again with --write-id write-0'],
  },
  {
    title: 'suggests a command for an unknown name',
    lines: ['aply @site.yaml'],
    status: ExitStatus.Invalid,
    error: ['Unknown command "aply"; did you mean "apply"?'],
  },
  {
    title: 'suggests an option for an unknown name',
    lines: ['apply @site.yaml --nte x'],
    status: ExitStatus.Invalid,
    error: ['Unknown option "--nte" of apply; did you mean "--note"?'],
  },
  {
    title: 'refuses a note that is too long',
    lines: [`apply @site.yaml --base 0 --note ${'x'.repeat(201)}`],
    status: ExitStatus.Invalid,
    error: ['The note has 201 characters'],
  },
  {
    title: 'shows examples in the help',
    lines: ['status --help'],
    status: ExitStatus.Success,
    out: ['EXAMPLES', 'clementinefork status --wait --timeout 20'],
  },
  {
    title: 'prints all settings with their defaults',
    lines: ['status --print-settings'],
    status: ExitStatus.Success,
    out: ['requestTimeoutMs: 2000 # default'],
  },
];

async function checkCase({ prepare, lines, status, out, error }: Case): Promise<void> {
  prepare?.();
  const result = await runCommandLines(lines);
  (out ?? []).forEach((text) => expect(result.out).toEqual(expect.includes(text)));
  (error ?? []).forEach((text) => expect(result.error).toEqual(expect.includes(text)));
  if (error === undefined) expect(result.error).toEqual('');
  expect(result.status).toEqual(status);
}

describe('clementinefork', () => {
  for (const testCase of cases) it(testCase.title, () => checkCase(testCase));

  // Guards against a declaration that changes in a round trip through get and apply.
  it('applies the output of get and updates baseVersion in the file', async () => {
    const printed = await runCommandLines([FIRST_APPLY, 'get']);
    session.writeFile('site.yaml', printed.out);
    expect((await session.run('apply @site.yaml')).out).toEqual(expect.includes('Nothing'));
    writeVariant('site.yaml', 'requestsPerSecond: 20\n', 'requestsPerSecond: 30\n');
    expect((await session.run('apply @site.yaml')).status).toEqual(ExitStatus.Success);
    const text = readTextFile(session.getPath('site.yaml'));
    expect(text.startsWith('baseVersion: 2\n')).toEqual(true);
    expect((await session.run('diff @site.yaml')).out).toEqual(expect.includes('is in force.'));
  });

  // Guards against reporting success to two operators whose concurrent changes conflict.
  it('applies one of two concurrent changes and shows both versions to the other operator', async () => {
    await session.run(FIRST_APPLY);
    writeVariant('morning.yaml', 'requestsPerSecond: 200', 'requestsPerSecond: 300');
    writeVariant('afternoon.yaml', 'weight: 80', 'weight: 60');
    session.standIn.faults.loseWriteAnswers = 1;
    const results = await Promise.all([
      session.run('apply @morning.yaml --base 1 --operator ana --note peak'),
      session.run('apply @afternoon.yaml --base 1 --operator boris --note weights'),
    ]);
    const statuses = results.map(({ status }) => status).sort();
    expect(statuses).toEqual([ExitStatus.Success, ExitStatus.Conflict]);
    const refused = results.find(({ status }) => status === ExitStatus.Conflict);
    const texts = ['Changes since version 1:', 'version 2', 'limits/orchard', 'weight: in force'];
    texts.forEach((text) => expect(refused?.out ?? '').toEqual(expect.includes(text)));
    expect(refused?.error ?? '').toEqual(expect.includes('nothing was applied'));
    expect(session.standIn.store.getVersion()).toEqual(2);
  });

  // Guards against applying a change twice after the response to the first write was lost.
  it('determines the outcome of an undecided run by its write id', async () => {
    Object.assign(session.standIn.faults, { lateWrites: 99, lateWriteMs: SETTLE_TIMEOUT_MS + 300 });
    expect((await session.run(FIRST_APPLY)).status).toEqual(ExitStatus.Undecided);
    session.standIn.faults.lateWrites = 0;
    const result = await session.run(`${FIRST_APPLY} --write-id write-0`);
    expect(result.status).toEqual(ExitStatus.Success);
    expect(session.standIn.store.getVersion()).toEqual(1);
  });
});
