const MAX_UINT32 = 0xffff_ffff;

/** Rounds to an unsigned 32-bit integer; values outside its range, and NaN, become the nearest bound. */
export function toUint32(value: number): number {
  return value >= 0 ? Math.round(Math.min(value, MAX_UINT32)) : 0;
}

/** Rounds to an unsigned integer that a double holds exactly, for 64-bit fields; like `toUint32`. */
export function toUint53(value: number): bigint {
  return BigInt(value >= 0 ? Math.round(Math.min(value, Number.MAX_SAFE_INTEGER)) : 0);
}
