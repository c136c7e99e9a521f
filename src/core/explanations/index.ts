export { explainRequest } from './explain-request.ts';
export type { Explanation } from './explain-request.ts';
export { parseLog } from './parse-log.ts';
export type { LogEntry } from './parse-log.ts';
