/** A JSON value that is an object. */
export type JsonObject = Readonly<Record<string, unknown>>;

/** Tells whether a JSON value is an object and not an array. */
export function isJsonObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Encodes a value as JSON with sorted keys and no spaces, so that equal values have equal text. */
export function encodeCanonicalJson(value: unknown): string {
  if (Array.isArray(value)) return `[${value.map(encodeCanonicalJson).join(',')}]`;
  if (!isJsonObject(value)) return JSON.stringify(value ?? null);
  const fields = Object.keys(value)
    .filter((key) => value[key] !== undefined)
    .sort()
    .map((key) => `${JSON.stringify(key)}:${encodeCanonicalJson(value[key])}`);
  return `{${fields.join(',')}}`;
}
