import { AddressFamily } from './addressFamily.js'
import type { IpAddress } from './ipAddress.js'

const DOT = 46
const DIGIT_0 = 48
const COLON = 58
const LETTER_A = 97
const GROUPS = 8
const groups = new Uint16Array(GROUPS)

/** Parses an IP address; returns undefined for other text. IPv4-mapped IPv6 addresses (`::ffff:10.0.0.1`) count as IPv4. */
export function parseIp (text: string): IpAddress | undefined {
  return text.includes(':') ? parseV6(text) : makeV4(parseDotted(text))
}

const makeV4 = (value: number): IpAddress | undefined => value < 0
  ? undefined
  : { family: AddressFamily.v4, chunk: Math.floor(value / 0x1000000), key: value % 0x1000000, lowHigh: 0, lowLow: 0 }

// Parses four decimal numbers to 32 bits; returns -1 if malformed. Reads character codes for speed, because this runs for each look-up.
const parseDotted = (text: string): number => {
  let value = 0
  let part = -1
  let dots = 0
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index)
    if (code === DOT) {
      if (part < 0) return -1
      value = value * 256 + part
      part = -1
      dots += 1
    } else {
      const digit = code - DIGIT_0
      if (digit < 0 || digit > 9 || part === 0) return -1
      part = part < 0 ? digit : part * 10 + digit
      if (part > 255) return -1
    }
  }
  return dots === 3 && part >= 0 ? value * 256 + part : -1
}

// Reads character codes into one reused array, so that a look-up does not allocate eight strings.
const parseV6 = (text: string): IpAddress | undefined => {
  let count = 0
  let gap = -1
  let index = 0
  if (text.charCodeAt(0) === COLON && text.charCodeAt(1) !== COLON) return undefined
  while (index < text.length) {
    if (text.charCodeAt(index) === COLON && text.charCodeAt(index + 1) === COLON) {
      if (gap >= 0) return undefined
      gap = count
      index += 2
      continue
    }
    if (count > 0 && gap !== count) {
      if (text.charCodeAt(index) !== COLON) return undefined
      index += 1
    }
    const end = findGroupEnd(text, index)
    const value = end < 0 ? -1 : parseHex(text, index, end)
    if (end < 0) return makeV6(count, gap, parseDotted(text.slice(index)))
    if (value < 0 || count === GROUPS) return undefined
    groups[count] = value
    count += 1
    index = end
  }
  return makeV6(count, gap, undefined)
}

// Finds the end of the group that begins at `start`; returns -1 if it is the IPv4 part.
const findGroupEnd = (text: string, start: number): number => {
  for (let index = start; index < text.length; index += 1) {
    const code = text.charCodeAt(index)
    if (code === COLON) return index
    if (code === DOT) return -1
  }
  return text.length
}

const parseHex = (text: string, start: number, end: number): number => {
  if (end === start || end - start > 4) return -1
  let value = 0
  for (let index = start; index < end; index += 1) {
    const code = text.charCodeAt(index)
    const lower = code | 32
    const isDigit = code >= DIGIT_0 && code <= DIGIT_0 + 9
    if (!isDigit && (lower < LETTER_A || lower > LETTER_A + 5)) return -1
    value = value * 16 + (isDigit ? code - DIGIT_0 : lower - LETTER_A + 10)
  }
  return value
}

// `gap`: the number of groups before `::`, -1 without `::`. `dotted`: the IPv4 part, -1 if malformed.
const makeV6 = (read: number, gap: number, dotted: number | undefined): IpAddress | undefined => {
  let count = read
  if (dotted !== undefined) {
    if (dotted < 0 || count > GROUPS - 2) return undefined
    groups[count] = Math.floor(dotted / 65536)
    groups[count + 1] = dotted % 65536
    count += 2
  }
  if (gap < 0 ? count !== GROUPS : count >= GROUPS) return undefined
  if (gap >= 0) {
    groups.copyWithin(GROUPS - (count - gap), gap, count)
    groups.fill(0, gap, GROUPS - (count - gap))
  }
  const high = getPair(0)
  const lowHigh = getPair(4)
  const lowLow = getPair(6)
  if (high === 0 && getPair(2) === 0 && lowHigh === 0xffff) return makeV4(lowLow)
  return { family: AddressFamily.v6, chunk: Math.floor(high / 65536), key: (high % 65536) * 0x100000000 + getPair(2), lowHigh, lowLow }
}

const getPair = (index: number): number => (groups[index] as number) * 65536 + (groups[index + 1] as number)
