import type { accountDimensions } from './accountDimensions.js'

/** A part of a row by which requests are told apart. */
export type AccountDimension = (typeof accountDimensions)[number]
