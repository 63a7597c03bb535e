const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193

/** Computes the 32-bit FNV-1a hash of a text, with a final mix so that similar texts spread over the whole range. */
export function computeHash (text: string): number {
  let hash = OFFSET_BASIS
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), PRIME)
  return computeMix(hash)
}

const computeMix = (value: number): number => {
  let mixed = value ^ (value >>> 16)
  mixed = Math.imul(mixed, 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}
