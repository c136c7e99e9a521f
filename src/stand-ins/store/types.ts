/** Fault that the stand-in applies to all calls. */
export enum StoreFault {
  None = 'none',
  /** Responds with 503 and does nothing. */
  Unavailable = 'unavailable',
  /** Responds with 429 and does nothing. */
  TooMany = 'too-many',
  /** Accepts calls and never responds. */
  Silent = 'silent',
  /** Applies writes and closes the connection without a response. */
  ResponsesLost = 'answers-lost',
}

/** One object in its JSON representation on the wire. */
export interface WireObject {
  metadata: { name: string; revision: number; created: number };
  spec: unknown;
  status: unknown;
}

/** A running stand-in for the platform's store. */
export interface StandInStore {
  port: number;
  setFault(fault: StoreFault): void;
  /** Discards all events, so that a watch from an earlier revision gets 410. */
  dropHistory(): void;
  /** Keeps a copy of all objects, to which `restoreCopy` goes back. */
  takeCopy(): void;
  /** Loses what was written since the copy; revisions are given out again, in a new era. */
  restoreCopy(): void;
  /** Writes an object, as another client of the store would. */
  putObject(kind: string, name: string, spec: unknown): void;
  removeObject(kind: string, name: string): void;
  getObject(kind: string, name: string): WireObject | undefined;
  close(): Promise<void>;
}
