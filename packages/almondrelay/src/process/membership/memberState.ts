/** Known state of a host. Only `gone` is definitive; no other state frees what the host held. */
const MemberState = {
  /** A report was received lately. */
  live: 'live',
  /** No report for too long: the host gets no new work, and nothing that it holds is freed. */
  suspected: 'suspected',
  /** Announced that it is leaving: the host gets no new work and finishes the work it has. */
  leaving: 'leaving',
  /** Known only from the settings or the host list; no report was received yet. */
  unheard: 'unheard',
  /** Definitive evidence shows that the process of this incarnation has exited. */
  gone: 'gone'
} as const

type MemberState = (typeof MemberState)[keyof typeof MemberState]

export { MemberState }
