declare module 'didyoumean' {
  /** Returns the closest candidate, or null if none is similar enough. */
  export default function didYouMean(input: string, candidates: readonly string[]): string | null;
}
