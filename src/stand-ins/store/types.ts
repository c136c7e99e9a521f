/** How the stand-in answers calls. */
export enum StoreFault {
  None = 'none',
  /** Refuses without doing anything (503). */
  Unavailable = 'unavailable',
  /** Refuses because of too many calls (429). */
  TooMany = 'too-many',
  /** Takes calls and never answers. */
  Silent = 'silent',
  /** Carries writes out and closes the connection without an answer. */
  AnswersLost = 'answers-lost',
}

/** One object as it goes over the wire. */
export interface WireObject {
  metadata: { name: string; revision: number; created: number };
  spec: unknown;
  status: unknown;
}

/** A running stand-in of the platform's store. */
export interface StandInStore {
  port: number;
  setFault(fault: StoreFault): void;
  /** Forgets all events, so that watches from before answer 410. */
  dropHistory(): void;
  /** Writes an object as another client of the store would. */
  putObject(kind: string, name: string, spec: unknown): void;
  removeObject(kind: string, name: string): void;
  getObject(kind: string, name: string): WireObject | undefined;
  close(): Promise<void>;
}
