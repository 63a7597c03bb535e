/** A source of chance in [0, 1), seeded in tests. */
export type Random = () => number
