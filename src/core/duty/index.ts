export { startDuty } from './create-duty.ts';
export type { Duty } from './create-duty.ts';
