import { randomUUID } from 'node:crypto';
import { runOperator } from '../../core/operator/index.ts';
import { createTimerService } from '../../core/timers/index.ts';

process.exitCode = await runOperator(
  {
    writeOut: (text) => process.stdout.write(text),
    writeError: (text) => process.stderr.write(text),
    timers: createTimerService(),
    createWriteId: randomUUID,
    env: process.env,
  },
  process.argv.slice(2),
);
