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

/** Share of the memory budget that one exchange with a caller takes. */
export interface MemoryAccount {
  /** Takes more bytes; returns false, and takes none, if the budget has no room for them. */
  tryReserve(bytes: number): boolean;
  /**
   * Takes bytes that are held already, even if the budget has no room for them; a negative number
   * gives bytes back.
   */
  charge(bytes: number): void;
  /** Gives everything back; later calls have no effect. */
  close(): void;
}

/** Bounds the memory that a process holds for its peers. */
export interface MemoryBudget {
  /** Opens an account that holds the bytes; undefined if the budget has no room for them. */
  openAccount(bytes: number): MemoryAccount | undefined;
  /** Whether the budget has no room for large requests. */
  isShort(): boolean;
  getHeldBytes(): number;
  getLimitBytes(): number;
}
