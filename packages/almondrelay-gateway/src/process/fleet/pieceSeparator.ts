/** Character at which values are split for a difference: they are JSON texts, in which a change touches few objects. */
export const PIECE_SEPARATOR = '{'
