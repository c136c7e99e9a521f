/** Bytes of a megabyte, as in the memory limits of VMs. */
export const BYTES_PER_MB = 1024 * 1024;

/** Smallest budget for peers, however little memory a VM has. */
export const MIN_BUDGET_BYTES = 16 * BYTES_PER_MB;
