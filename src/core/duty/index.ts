export { createDuty } from './create-duty.ts';
export type { Duty } from './create-duty.ts';
