/** What is known of a host. Only `gone` is definitive; it alone frees what the host held. */
const MemberState = {
  /** Heard of lately. */
  live: 'live',
  /** Silent for too long: gets no new work, and frees nothing. */
  suspected: 'suspected',
  /** Announced that it is leaving: gets no new work, and still finishes what it has. */
  leaving: 'leaving',
  /** Known from settings or the host list alone; never heard. */
  unheard: 'unheard',
  /** Definitive evidence says that this incarnation's process has ended. */
  gone: 'gone'
} as const

type MemberState = (typeof MemberState)[keyof typeof MemberState]

export { MemberState }
