import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { parse, stringify } from 'yaml';
import { buildGatewaySettings } from '../../stand-ins/soak/gateway-settings.ts';
import { readGatewaySettings } from './read-gateway-settings.ts';

const SETTINGS = parse(
  stringify(
    buildGatewaySettings({
      name: 'gateway-1',
      host: '127.0.0.1',
      zone: 'sofia-a',
      callersPort: 1,
      readinessPort: 2,
      directoryPort: 3,
      peerPort: 4,
      storeAddress: '127.0.0.1:9',
      isFirstStart: true,
    }),
  ),
) as { limits: object; bounds: object };

function readWarnings(settings: object) {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const warnings: unknown[] = [];
  try {
    const file = join(folder, 'settings.yaml');
    writeFileSync(file, stringify(settings));
    const read = readGatewaySettings(file, {
      warn: (_message, fields) => warnings.push({ ...fields }),
    });
    return { warnings, read };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

const withLimit = (change: object) => ({ ...SETTINGS, limits: { ...SETTINGS.limits, ...change } });
const withBound = (change: object) => ({ ...SETTINGS, bounds: { ...SETTINGS.bounds, ...change } });

interface Case {
  name: string;
  settings: object;
  warnings: object[];
}

const cases: Case[] = [
  { name: 'none for a complete file', settings: SETTINGS, warnings: [] },
  {
    name: 'one of a limit that is no number',
    settings: withLimit({ memory_mb: '350 MB' }),
    warnings: [{ field: 'limits.memory_mb', value: '"350 MB"', usual: 350 }],
  },
  {
    name: 'one of a bound below zero',
    settings: withBound({ grace_s: -8 }),
    warnings: [{ field: 'bounds.grace_s', value: '-8', usual: 8 }],
  },
  {
    name: 'one of a missing figure',
    settings: withBound({ stall_ms: undefined }),
    warnings: [{ field: 'bounds.stall_ms', value: 'missing', usual: 5_000 }],
  },
  {
    name: 'one of a flag of another type',
    settings: { ...SETTINGS, bootstrap: 'yes' },
    warnings: [{ field: 'bootstrap', value: '"yes"', usual: false }],
  },
  {
    name: 'one of each figure of limits that cannot be read',
    settings: { ...SETTINGS, limits: 'none' },
    warnings: [
      { field: 'limits.cpu_share', value: 'missing', usual: 1 },
      { field: 'limits.cores', value: 'missing', usual: 1 },
      { field: 'limits.memory_mb', value: 'missing', usual: 350 },
      { field: 'limits.max_fds', value: 'missing', usual: 4_096 },
    ],
  },
];

describe('settings of a gateway', () => {
  // Guards against figures of the operator that are replaced without a trace.
  for (const { name, settings, warnings } of cases) {
    it(`gives ${warnings.length} warnings: ${name}`, () => {
      expect(readWarnings(settings).warnings).toEqual(warnings);
    });
  }

  it('replaces only what is unusable', () => {
    const { read } = readWarnings(withBound({ grace_s: null, stall_ms: 4_000 }));
    expect(read.graceMs).toEqual(8_000);
    expect(read.stallMs).toEqual(4_000);
  });
});
