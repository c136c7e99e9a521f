import { measureColdTargets } from './measure-cold-targets.ts';
import { printRows } from './print-rows.ts';

printRows(await measureColdTargets(), process.argv.includes('--json'));
