import { inflateRawSync } from 'node:zlib'
import { z } from 'zod'
import { MAX_VALUE_BYTES } from '../store/maxValueBytes.js'
import { PIECE_SEPARATOR } from './pieceSeparator.js'

/** Length in bytes of the decompressed steps of such a value. Longer ones are an attempt to exhaust the host's memory. */
const MAX_STEPS_BYTES = 2 * MAX_VALUE_BYTES

const stepsSchema = z.array(z.union([z.string(), z.tuple([z.number().int().nonnegative(), z.number().int().positive()])]))

/**
 * Makes a value from another one by the steps of `computePatchSteps`.
 *
 * @throws Error if the steps can't be read, name pieces that the other value does not have, or make a value that is too long
 */
export function applyPatchSteps (base: Buffer, steps: Uint8Array): Buffer {
  const basePieces = base.toString('latin1').split(PIECE_SEPARATOR)
  const pieces: string[] = []
  let bytes = 0
  for (const step of stepsSchema.parse(JSON.parse(inflateRawSync(steps, { maxOutputLength: MAX_STEPS_BYTES }).toString()))) {
    const taken = typeof step === 'string' ? [step] : takePieces(basePieces, step)
    for (const piece of taken) bytes += piece.length + PIECE_SEPARATOR.length
    if (bytes > MAX_VALUE_BYTES + PIECE_SEPARATOR.length) throw new Error('a value that is longer than the store accepts')
    for (const piece of taken) pieces.push(piece)
  }
  return Buffer.from(pieces.join(PIECE_SEPARATOR), 'latin1')
}

const takePieces = (pieces: readonly string[], [first, count]: readonly [number, number]): readonly string[] => {
  if (first + count > pieces.length) throw new Error('a piece that the value before does not have')
  return pieces.slice(first, first + count)
}
