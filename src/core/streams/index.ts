export { createAnswerStream } from './answer-stream.ts';
export { createBufferBudget } from './buffer-budget.ts';
export type { BufferBudget } from './buffer-budget.ts';
export * from './consts.ts';
export { decodeResumeToken, encodeResumeToken, getRequestIdOfAttempt } from './resume-token.ts';
export * from './types.ts';
