import type { accountDimensions } from './accountDimensions.js'

/** A field of an account row by which requests are grouped. */
export type AccountDimension = (typeof accountDimensions)[number]
