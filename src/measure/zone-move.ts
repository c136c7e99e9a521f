import { measureZoneMove } from './measure-zone-move.ts';
import { printRows } from './print-rows.ts';

printRows(await measureZoneMove(), process.argv.includes('--json'));
