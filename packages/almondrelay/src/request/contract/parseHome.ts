import type { HomeReference } from './homeReference.js'

const HOME = /^([a-z0-9][a-z0-9.-]{0,62});(\d{1,15})$/

/** Parses `<host>;<incarnation>`; returns undefined if malformed. */
export function parseHome (text: string): HomeReference | undefined {
  const found = HOME.exec(text)
  if (found === null) return undefined
  return { host: found[1] as string, incarnation: Number(found[2]) }
}
