import didYouMean from 'didyoumean';

/** Returns the candidate that the input probably means. */
export function findSuggestion(input: string, candidates: Iterable<string>): string | undefined {
  return didYouMean(input, [...candidates]) ?? undefined;
}

/** Returns the end of a message about an unknown name; empty when no candidate is near. */
export function formatSuggestion(input: string, candidates: Iterable<string>): string {
  const suggestion = findSuggestion(input, candidates);
  return suggestion === undefined ? '' : `; did you mean "${suggestion}"?`;
}
