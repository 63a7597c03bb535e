const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/** Returns the wall-clock time in milliseconds contained in a UUIDv7 (RFC 9562, section 5.7); undefined for any other text. */
export function parseIdTime (id: string): number | undefined {
  const found = UUID_V7.exec(id.toLowerCase())
  if (found === null) return undefined
  return parseInt(`${found[1]}${found[2]}`, 16)
}
