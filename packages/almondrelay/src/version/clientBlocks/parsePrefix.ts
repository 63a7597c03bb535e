import { AddressFamily } from './addressFamily.js'
import type { IpAddress } from './ipAddress.js'
import { parseIp } from './parseIp.js'

interface Prefix {
  start: IpAddress
  length: number
}

/** Parses a prefix such as `10.1.0.0/16` or `2001:db8::/32` and clears the bits after its length; returns undefined for other text. */
export function parsePrefix (text: string): Prefix | undefined {
  const slash = text.indexOf('/')
  const lengthText = text.slice(slash + 1)
  const ip = slash < 0 ? undefined : parseIp(text.slice(0, slash))
  if (ip === undefined || !/^(0|[1-9]\d{0,2})$/.test(lengthText)) return undefined
  const length = Number(lengthText)
  if (ip.family === AddressFamily.v4) return length > 32 ? undefined : { start: clearBits(ip, length, 8, 24), length }
  return length > 128 ? undefined : { start: clearBits(ip, length, 16, 48), length }
}

const clearBits = (ip: IpAddress, length: number, chunkBits: number, keyBits: number): IpAddress => ({
  family: ip.family,
  chunk: clearLow(ip.chunk, chunkBits - length),
  key: clearLow(ip.key, chunkBits + keyBits - length),
  lowHigh: clearLow(ip.lowHigh, 96 - length),
  lowLow: clearLow(ip.lowLow, 128 - length)
})

// JavaScript's bit operators work on 32 bits only; an IPv6 key has 48.
const clearLow = (value: number, bits: number): number => bits <= 0 ? value : value - value % 2 ** bits
