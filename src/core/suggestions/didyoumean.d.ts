declare module 'didyoumean' {
  /** Returns the nearest candidate, or null when none is near. */
  export default function didYouMean(input: string, candidates: readonly string[]): string | null;
}
