/** Exit statuses of all commands. */
export enum ExitStatus {
  Success = 0,
  /** The work failed; the message names the remedy. */
  Failure = 1,
  /** Settings, a declaration or the command line are invalid; nothing was done. */
  Invalid = 2,
  /** Another operator's change came first; nothing was done. */
  Conflict = 3,
  /** It isn't known whether the change took effect; run the command again as the message says. */
  Undecided = 4,
}
