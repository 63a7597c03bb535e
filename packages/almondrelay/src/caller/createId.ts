import { randomBytes } from 'node:crypto'

/** Creates a UUIDv7 (RFC 9562, section 5.7) for a wall-clock time in milliseconds. */
export function createId (wallMs: number): string {
  const bytes = randomBytes(16)
  bytes.writeUIntBE(Math.floor(wallMs), 0, 6)
  bytes[6] = 0x70 | ((bytes[6] as number) & 0x0f)
  bytes[8] = 0x80 | ((bytes[8] as number) & 0x3f)
  const hex = bytes.toString('hex')
  return `${hex.slice(0, 8)}-${hex.slice(8, 12)}-${hex.slice(12, 16)}-${hex.slice(16, 20)}-${hex.slice(20)}`
}
