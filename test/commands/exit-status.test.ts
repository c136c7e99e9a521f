import { execFile } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ExitStatus } from '../../src/core/process/index.ts';

const BINARIES = [
  'clementinefork-entry',
  'clementinefork-controller',
  'standin-platform',
  'standin-engine',
  'standin-service',
  'standin-weights',
];

interface ExitResult {
  status: number;
  stderr: string;
}

function runBinary(name: string, parameters: string[]): Promise<ExitResult> {
  return new Promise((resolve) => {
    execFile(process.execPath, [`dist/${name}.js`, ...parameters], (error, _, stderr) => {
      resolve({ status: typeof error?.code === 'number' ? error.code : 0, stderr });
    });
  });
}

describe('exit statuses', () => {
  for (const binary of BINARIES) {
    // Guards against a daemon that starts although an option or a setting is misspelt.
    it(`${binary} exits with status 2 on an unknown option`, async () => {
      const { status } = await runBinary(binary, ['--nonsense']);
      expect(status).toEqual(ExitStatus.Invalid);
    });

    it(`${binary} exits with status 2 on an unknown setting and prints the file and the setting`, async () => {
      const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'settings.yaml');
      writeFileSync(file, 'nonsense: 1\n');
      const { status, stderr } = await runBinary(binary, ['--settings', file]);
      expect(status).toEqual(ExitStatus.Invalid);
      expect(stderr).toInclude(file);
      expect(stderr).toInclude('nonsense');
    });
  }
});
