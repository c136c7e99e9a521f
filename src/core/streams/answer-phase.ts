/** Phase of an answer stream. */
export enum AnswerPhase {
  /** An attempt is reading from an engine. */
  Reading = 'reading',
  /** The stream is waiting for a placement at another target. */
  Placing = 'placing',
  /** The engine stream was cancelled because the caller reads too slowly. */
  Paused = 'paused',
  /**
   * The caller reads too slowly, but the answer could not be continued after a cancellation, so the
   * engine stream is kept without a reader.
   */
  Parked = 'parked',
  /** The engine stream has ended; the remaining tokens are delivered to the caller. */
  Draining = 'draining',
  Closed = 'closed',
}
