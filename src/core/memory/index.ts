export { createByteCollector } from './byte-collector.ts';
export type { ByteCollector } from './byte-collector.ts';
export { BYTES_PER_MB } from './consts.ts';
export { createMemoryMeter } from './measure-memory.ts';
export { computeBudgetBytes, createMemoryBudget } from './memory-budget.ts';
export { startMemoryMonitor } from './memory-monitor.ts';
export type { MemoryMonitorOptions } from './memory-monitor.ts';
export type { MemoryAccount, MemoryBudget, MemoryUsage } from './types.ts';
