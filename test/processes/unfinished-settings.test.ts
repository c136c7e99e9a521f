import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { parse, stringify } from 'yaml';
import { ExitStatus } from '../../src/core/process/index.ts';
import { createTimerService } from '../../src/core/timers/index.ts';
import { findFreePorts } from '../../src/demo/free-ports.ts';
import { buildGatewaySettings } from '../../src/stand-ins/soak/gateway-settings.ts';

/** Loopback address that only this test uses, as all gateways use the same metrics port. */
const HOST = '127.0.0.23';
const UNFINISHED_MS = 1_500;
const LATE_MS = 6_000;
const LIMIT_MS = 15_000;

async function buildSettingsText(): Promise<string> {
  const [callers = 0, readiness = 0, directory = 0, peer = 0] = await findFreePorts(4);
  return stringify(
    buildGatewaySettings({
      name: 'gateway-1',
      host: HOST,
      zone: 'sofia-a',
      callersPort: callers,
      readinessPort: readiness,
      directoryPort: directory,
      peerPort: peer,
      storeAddress: '127.0.0.1:9',
      isFirstStart: true,
    }),
  );
}

interface SettingsView {
  internal_port_range: number[];
}

interface Case {
  name: string;
  /** Content of the file when the process starts; undefined if it is missing. */
  getFirst(text: string): string | undefined;
  /** Time after which the file is complete; undefined if it stays as it is. */
  completedAfterMs?: number;
  /** What the process does within the limit: its log says that it has started, or its exit status. */
  expected: string | number;
}

function changeSettings(text: string, changes: Record<string, unknown>): string {
  return stringify({ ...(parse(text) as object), ...changes });
}

const cases: Case[] = [
  {
    name: 'a file that ends after its half',
    getFirst: (text) => text.slice(0, text.length / 2),
    completedAfterMs: UNFINISHED_MS,
    expected: 'started',
  },
  {
    name: 'an empty file',
    getFirst: () => '',
    completedAfterMs: UNFINISHED_MS,
    expected: 'started',
  },
  {
    name: 'no file',
    getFirst: () => undefined,
    completedAfterMs: UNFINISHED_MS,
    expected: 'started',
  },
  {
    name: 'no file for some seconds',
    getFirst: () => undefined,
    completedAfterMs: LATE_MS,
    expected: 'started',
  },
  {
    name: 'a file without limits and bounds',
    getFirst: (text) => changeSettings(text, { limits: null, bounds: undefined }),
    expected: 'started',
  },
  {
    name: 'figures of wrong types',
    getFirst: (text) =>
      changeSettings(text, {
        bootstrap: null,
        limits: { cpu_share: null, cores: '' },
        bounds: { drain_ms: '', grace_s: null, retry_budget_ratio: [], stall_ms: {} },
        internal_port_range: [...(parse(text) as SettingsView).internal_port_range, null],
      }),
    expected: 'started',
  },
  {
    name: 'a file that stays invalid',
    getFirst: () => 'node: 1\n',
    expected: ExitStatus.Invalid,
  },
];

describe('a gateway process whose settings file is being written when it starts', () => {
  for (const testCase of cases) {
    // Guards against a gateway that ends by itself because the platform is changing its settings.
    it(`starts, or ends with a status, with ${testCase.name}`, async () => {
      const timers = createTimerService();
      const text = await buildSettingsText();
      const folder = mkdtempSync(join(tmpdir(), 'unfinished-settings-'));
      const file = join(folder, 'settings.yaml');
      const first = testCase.getFirst(text);
      if (first !== undefined) writeFileSync(file, first);
      const child = spawn(process.execPath, ['dist/clementinefork-gateway.js'], {
        env: { ...process.env, CLEMENTINEFORK_CONFIG: file },
        stdio: ['ignore', 'pipe', 'ignore'],
      });
      const result = new Promise<string | number>((resolve) => {
        child.stdout.on('data', (bytes: Buffer) => {
          if (bytes.toString().includes('] started')) resolve('started');
        });
        child.on('exit', (status, signal) => resolve(status ?? signal ?? ''));
      });
      if (testCase.completedAfterMs !== undefined) {
        await timers.waitFor(testCase.completedAfterMs);
        writeFileSync(file, text);
      }
      const seen = await Promise.race([result, timers.waitFor(LIMIT_MS).then(() => 'nothing')]);
      child.kill('SIGKILL');
      rmSync(folder, { recursive: true });
      expect(seen).toEqual(testCase.expected);
    });
  }
});
