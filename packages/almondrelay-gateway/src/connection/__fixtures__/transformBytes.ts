/** Bytes that decide how a message is framed, more likely than others to bring about a fault. */
const FRAMING = '\r\n:;, \t0123456789abcdefx-+~\u0000\u0080\u00ff'

/** Changes, cuts, doubles or inserts bytes of a message, once to three times. */
export function transformBytes (text: string, random: () => number): string {
  const pick = (below: number): number => Math.floor(random() * below)
  const sampleByte = (): string => random() < 0.6 ? FRAMING[pick(FRAMING.length)] as string : String.fromCharCode(pick(256))
  let transformed = text
  for (let count = 1 + pick(3); count > 0; count -= 1) {
    const at = pick(transformed.length)
    const length = random() < 0.7 ? 1 : 1 + pick(40)
    const [before, taken, after] = [transformed.slice(0, at), transformed.slice(at, at + length), transformed.slice(at + length)]
    switch (pick(5)) {
      case 0: transformed = before + sampleByte() + transformed.slice(at + 1); break
      case 1: transformed = before + after; break
      case 2: transformed = before + taken + taken + after; break
      case 3: transformed = before + sampleByte() + transformed.slice(at); break
      default: transformed = before
    }
  }
  return transformed
}
