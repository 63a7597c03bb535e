import type { Json } from './json.js'

/** Converts a value to JSON: maps become objects, sets become arrays, and an undefined value becomes null. */
export function toJson (value: unknown): Json {
  const text = JSON.stringify(value, (_, each: unknown) => {
    if (each instanceof Map) return Object.fromEntries(each)
    if (each instanceof Set) return [...each]
    return each
  }) as string | undefined
  return text === undefined ? null : JSON.parse(text) as Json
}
