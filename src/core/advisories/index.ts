export { createAdvisories } from './create-advisories.ts';
export type { Advisories } from './create-advisories.ts';
export { NO_ADVICE, NO_NOTICES } from './types.ts';
export type { AdvisoryNotices, LimitNotice, LimitReport, TargetAdvice } from './types.ts';
