/** Permission to have one request in progress at a cold target. */
export interface Slot {
  id: string;
  vm: string;
  /** Returns the slot to its granter; called when the request has ended. */
  release(): void;
}

/** Acquires slots from the granters of cold targets, renews and returns them. */
export interface SlotClient {
  /** Resolves with a slot, or with undefined when the granter has none or is unreachable. */
  takeSlot(vm: string): Promise<Slot | undefined>;
  close(): void;
}
