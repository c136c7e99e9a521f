/** Bytes of a megabyte, as in the memory limits of VMs. */
export const BYTES_PER_MB = 1024 * 1024;
