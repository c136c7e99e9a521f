import didYouMean from 'didyoumean';

/** Returns the candidate that is closest to a misspelt input, or undefined if none is similar. */
export function findSuggestion(input: string, candidates: Iterable<string>): string | undefined {
  return didYouMean(input, [...candidates]) ?? undefined;
}

/** Returns a suggestion to append to an error message, or an empty text if none is similar. */
export function formatSuggestion(input: string, candidates: Iterable<string>): string {
  const suggestion = findSuggestion(input, candidates);
  return suggestion === undefined ? '' : `; did you mean "${suggestion}"?`;
}
