/** Right to have one request at a cold target. */
export interface Slot {
  id: string;
  vm: string;
  /** Returns the slot when the request has ended. */
  release(): void;
}

/** Gets slots from the granters of cold targets, renews held ones and returns them. */
export interface SlotClient {
  /** Resolves with a slot, or with undefined when the granter has none or cannot be reached. */
  takeSlot(vm: string): Promise<Slot | undefined>;
  close(): void;
}
