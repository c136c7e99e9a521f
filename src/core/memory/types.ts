/** Memory of the process, in bytes. */
export interface MemoryUsage {
  /** Resident memory, which the limit of the VM counts. */
  residentBytes: number;
  /** JavaScript objects in use. */
  heapBytes: number;
  /** Size at which the JavaScript heap is full and Node.js aborts. */
  heapLimitBytes: number;
  /** Buffers and other memory outside the JavaScript heap that objects refer to. */
  externalBytes: number;
}
