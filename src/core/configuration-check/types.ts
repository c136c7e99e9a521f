/** Whether a finding prevents a configuration from serving as it was meant. */
export enum Severity {
  /** The configuration is rejected, or a part of it serves no request. */
  Error = 'error',
  /** The configuration serves, but a value has no effect or contradicts another one. */
  Warning = 'warning',
}

/** What a finding is about. */
export enum FindingKind {
  /** The file cannot be read as a configuration. */
  Invalid = 'invalid',
  /** An entry that no request can ever match. */
  NeverMatches = 'never-matches',
  /** A name that is not declared, or is declared twice. */
  Name = 'name',
  /** Limits that contradict each other, or that no request can meet. */
  Limits = 'limits',
  /** The version is not higher than the one in force. */
  Version = 'version',
}

/** A problem in a configuration. */
export interface Finding {
  severity: Severity;
  kind: FindingKind;
  /** Path of the entry, such as `routes/quote`. */
  path: string;
  problem: string;
}

/** How an entry differs between two configurations. */
export enum DifferenceKind {
  Added = 'added',
  Removed = 'removed',
  Changed = 'changed',
}

/** An entry that differs between two configurations. */
export interface Difference {
  kind: DifferenceKind;
  path: string;
  /** Names of the fields that differ; empty for added and removed entries. */
  fields: string[];
}
