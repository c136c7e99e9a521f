/** Error kinds; each has an entry in `ERROR_DATA`. The values are part of the public interface. */
export enum ErrorKind {
  SettingsInvalid = 'settings-invalid',
  SettingsUnreadable = 'settings-unreadable',
  DeclarationInvalid = 'declaration-invalid',
  ConfigurationInvalid = 'configuration-invalid',
  DeclarationConflict = 'declaration-conflict',
  DeclarationTooLarge = 'declaration-too-large',
  PlatformUnavailable = 'platform-unavailable',
  PlatformRefused = 'platform-refused',
  WriteUndecided = 'write-undecided',
  AllocationTooLarge = 'allocation-too-large',
  AllocationChangeRefused = 'allocation-change-refused',
  LeaseLost = 'lease-lost',
  OrderRefused = 'order-refused',
  NoTarget = 'no-target',
  LimitReached = 'limit-reached',
  MemoryShort = 'memory-short',
  RequestIdNotIssued = 'request-id-not-issued',
  OwnerUnreachable = 'owner-unreachable',
  OutcomeUnknown = 'outcome-unknown',
  CallNotRun = 'call-not-run',
  StreamBroken = 'stream-broken',
  StreamLost = 'stream-lost',
  ResumeTokenInvalid = 'resume-token-invalid',
  RequestInvalid = 'request-invalid',
  PeerUnreachable = 'peer-unreachable',
  ChangeHalfWay = 'change-half-way',
  UsageInvalid = 'usage-invalid',
}

/** Texts of an error kind; message and hint can contain placeholders such as `{file}` for details. */
export interface ErrorData {
  /** Class name of the error. */
  name: string;
  title: string;
  message: string;
  /** What the operator or caller should do. */
  hint: string;
}

/** Texts of all errors that operators and callers can see. */
export const ERROR_DATA: Readonly<Record<ErrorKind, ErrorData>> = {
  [ErrorKind.SettingsInvalid]: {
    name: 'SettingsInvalidError',
    title: 'Settings are invalid.',
    message: '{file}: {path}: {problem}',
    hint: 'Correct the setting; run the command with --print-settings to see all settings and defaults.',
  },
  [ErrorKind.SettingsUnreadable]: {
    name: 'SettingsUnreadableError',
    title: 'A file cannot be read.',
    message: '{file}: {problem}',
    hint: 'Check that the file exists, is readable and holds YAML.',
  },
  [ErrorKind.DeclarationInvalid]: {
    name: 'DeclarationInvalidError',
    title: 'The declaration is invalid.',
    message: '{file}: {path}: {problem}',
    hint: 'Correct the declaration and run `clementinefork validate` again; nothing was applied.',
  },
  [ErrorKind.ConfigurationInvalid]: {
    name: 'ConfigurationInvalidError',
    title: 'The configuration is invalid.',
    message: '{file}: {errors} of {findings} findings are errors.',
    hint: 'Correct the entries that are listed and run `clementinefork check` again; nothing was sent.',
  },
  [ErrorKind.DeclarationConflict]: {
    name: 'DeclarationConflictError',
    title: 'Another change was made first.',
    message: 'The change is based on version {baseVersion}, but version {version} is in force.',
    hint: 'Run `clementinefork diff`, merge the other change, and apply again; nothing was applied.',
  },
  [ErrorKind.DeclarationTooLarge]: {
    name: 'DeclarationTooLargeError',
    title: 'The declaration is too large.',
    message: 'The declaration takes {bytes} bytes; the limit is {limitBytes} bytes.',
    hint: 'Remove entries that are no longer used; nothing was applied.',
  },
  [ErrorKind.PlatformUnavailable]: {
    name: 'PlatformUnavailableError',
    title: 'The object API does not answer.',
    message: '{operation} failed: {problem}',
    hint: 'Serving continues without it. Try again when the object API is available.',
  },
  [ErrorKind.PlatformRefused]: {
    name: 'PlatformRefusedError',
    title: 'The object API rejected a request.',
    message: '{operation} was rejected: {problem}.',
    hint: 'Check that the object API has the version described in section 8 of docs/design.md and that the value is smaller than 1 MB.',
  },
  [ErrorKind.WriteUndecided]: {
    name: 'WriteUndecidedError',
    title: 'It is not yet known whether the write took effect.',
    message: 'The response to write {writeId} of {object} was lost: {problem}',
    hint: 'Run the same command again with --write-id {writeId}; it determines the outcome without writing twice.',
  },
  [ErrorKind.AllocationTooLarge]: {
    name: 'AllocationTooLargeError',
    title: 'The allocation of a fabric domain is too large.',
    message:
      'The allocation of {fabricDomain} takes {bytes} bytes; the limit is {limitBytes} bytes.',
    hint: 'Split the fabric domain in the VM list.',
  },
  [ErrorKind.AllocationChangeRefused]: {
    name: 'AllocationChangeRefusedError',
    title: 'A change to an allocation would violate a rule.',
    message: 'The allocation of {fabricDomain} was not changed: {problem}.',
    hint: 'The controller plans again from the allocation in force. Report this message if it repeats.',
  },
  [ErrorKind.LeaseLost]: {
    name: 'LeaseLostError',
    title: 'The lease is held by another controller.',
    message: 'The lease of {fabricDomain} at epoch {epoch} was lost.',
    hint: 'No action is needed; the new holder continues the work.',
  },
  [ErrorKind.OrderRefused]: {
    name: 'OrderRefusedError',
    title: 'A target refused an order.',
    message: '{vm} refused the order of epoch {epoch}: {problem}',
    hint: 'A controller with a newer lease controls this target; check the timeline of the VM.',
  },
  [ErrorKind.NoTarget]: {
    name: 'NoTargetError',
    title: 'No target can take the request.',
    message: 'No target of route {route} can take the request: {problem}',
    hint: 'Retry after the time in the retry-after header.',
  },
  [ErrorKind.LimitReached]: {
    name: 'LimitReachedError',
    title: 'The customer has reached a limit.',
    message: 'Customer {customer} has reached its limit of {limit}.',
    hint: 'Retry after the time in the retry-after header, or ask the operators to raise the limit.',
  },
  [ErrorKind.MemoryShort]: {
    name: 'MemoryShortError',
    title: 'The daemon has no memory for the request.',
    message: 'The bodies that the daemon holds leave no room for {bytes} more bytes.',
    hint: 'Retry after the time in the retry-after header, or at another daemon; nothing was run.',
  },
  [ErrorKind.RequestIdNotIssued]: {
    name: 'RequestIdNotIssuedError',
    title: 'The request id was not issued by this system.',
    message:
      'A non-idempotent call requires a request id with an issued prefix; got "{requestId}".',
    hint: 'Get requestIdPrefix from GET /v1/addresses and append a number of your own.',
  },
  [ErrorKind.OwnerUnreachable]: {
    name: 'OwnerUnreachableError',
    title: 'The daemon that owns the request id cannot be reached.',
    message: 'The owner {owner} of request {requestId} cannot be reached.',
    hint: 'The call may have run. Query GET /v1/requests/{requestId} later, and do not send the call with a new id.',
  },
  [ErrorKind.OutcomeUnknown]: {
    name: 'OutcomeUnknownError',
    title: 'It is not known whether the call ran.',
    message: 'The call {requestId} was sent to {vm}, but no response was received: {problem}',
    hint: 'Check with the service whether the call ran before you send it with a new id.',
  },
  [ErrorKind.CallNotRun]: {
    name: 'CallNotRunError',
    title: 'The call did not run.',
    message: 'The call {requestId} did not run and will not run later: {problem}',
    hint: 'Send it again with a new id after the time in the retry-after header.',
  },
  [ErrorKind.StreamBroken]: {
    name: 'StreamBrokenError',
    title: 'The response could not be completed.',
    message: 'The response to {requestId} stopped at offset {offset}: {problem}',
    hint: 'Resume the response by sending the last event id in the last-event-id header.',
  },
  [ErrorKind.StreamLost]: {
    name: 'StreamLostError',
    title: 'The response cannot be resumed.',
    message: 'The response to {requestId} stopped at offset {offset}: {problem}',
    hint: 'Start the request again with a new id and without the last-event-id header.',
  },
  [ErrorKind.ResumeTokenInvalid]: {
    name: 'ResumeTokenInvalidError',
    title: 'The resume token is invalid.',
    message: 'The last-event-id header does not contain a resume token: {problem}',
    hint: 'Send the id of the last event unchanged, or start the request again without the header.',
  },
  [ErrorKind.RequestInvalid]: {
    name: 'RequestInvalidError',
    title: 'The request is invalid.',
    message: '{path}: {problem}',
    hint: 'Correct the request; it was not run.',
  },
  [ErrorKind.PeerUnreachable]: {
    name: 'PeerUnreachableError',
    title: 'A daemon cannot be reached.',
    message: 'Daemon {daemon} cannot be reached: {problem}',
    hint: 'Check the address and whether the VM is running.',
  },
  [ErrorKind.ChangeHalfWay]: {
    name: 'ChangeHalfWayError',
    title: 'The change has not reached every daemon.',
    message: '{problem}',
    hint: 'Check the listed daemons; the change continues to spread without further action. Run `clementinefork status --wait` again.',
  },
  [ErrorKind.UsageInvalid]: {
    name: 'UsageInvalidError',
    title: 'The command line is invalid.',
    message: '{problem}',
    hint: 'Run the command with --help to see its options.',
  },
};
