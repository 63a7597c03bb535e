/** A source of random numbers in [0, 1); seeded in tests. */
export type Random = () => number
