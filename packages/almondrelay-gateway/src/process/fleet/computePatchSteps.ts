import { deflateRawSync } from 'node:zlib'
import { PIECE_SEPARATOR } from './pieceSeparator.js'

/**
 * Computes the steps that make a value from another one, compressed: either a piece of text, or the number of the first piece of the other
 * value that is taken over and how many.
 *
 * @param base value that the receiver has
 */
export function computePatchSteps (base: Buffer, value: Buffer): Uint8Array {
  const basePieces = base.toString('latin1').split(PIECE_SEPARATOR)
  const firstIndexes = new Map(basePieces.map((piece, index) => [piece, index]))
  const steps: Array<string | [number, number]> = []
  let run: [number, number] | undefined
  for (const piece of value.toString('latin1').split(PIECE_SEPARATOR)) {
    if (run !== undefined && basePieces[run[0] + run[1]] === piece) {
      run[1] += 1
      continue
    }
    const index = firstIndexes.get(piece)
    run = index === undefined ? undefined : [index, 1]
    steps.push(run ?? piece)
  }
  return deflateRawSync(JSON.stringify(steps))
}
