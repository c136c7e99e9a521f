import { mkdirSync, mkdtempSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { runAndReportErrors } from '../../core/process/index.ts';
import { createTimerService } from '../../core/timers/index.ts';
import { runDemo } from '../../demo/run-demo.ts';
import { createDemoCluster } from '../../demo/cluster.ts';

const OUTPUT_FOLDER = 'out';

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

await runAndReportErrors(async () => {
  const timers = createTimerService();
  const startMs = timers.getMonotonicMs();
  mkdirSync(OUTPUT_FOLDER, { recursive: true });
  const workFolder = mkdtempSync(join(OUTPUT_FOLDER, 'demo-'));
  const buildFolder = dirname(fileURLToPath(import.meta.url));
  print(`logs and settings: ${workFolder}`);
  const size = { entries: 2, engines: 4, services: 2, coldMs: 1_500, tokenMs: 5 };
  const cluster = await createDemoCluster({ ...size, buildFolder, workFolder, timers });
  try {
    await runDemo({ cluster, timers, print });
  } finally {
    await cluster.runner.stopAll();
  }
  print(`done in ${Math.round(timers.getMonotonicMs() - startMs)} ms`);
});
