/** Where an answer is. */
export enum Phase {
  /** An attempt reads from an engine. */
  Reading = 'reading',
  /** Another target is looked for. */
  Placing = 'placing',
  /** The stream was cancelled at the engine because the caller reads slowly. */
  Paused = 'paused',
  /** The engine holds the stream, because it could not be continued after a cancellation. */
  Parked = 'parked',
  /** The engine has ended; the caller gets the rest. */
  Draining = 'draining',
  Closed = 'closed',
}
