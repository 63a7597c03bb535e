/** Largest value of the integer fields of reports; sums of reports from elsewhere may exceed it. */
const MAX_UINT32 = 0xffffffff

/** Rounds a value to the nearest one that an integer field of a report can hold. The encoder throws on any other value. */
export function toUint32 (value: number): number {
  return Number.isNaN(value) ? 0 : Math.min(MAX_UINT32, Math.max(0, Math.round(value)))
}
