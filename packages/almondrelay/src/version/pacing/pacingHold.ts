/** What holds a drain or shift back; for its status. */
const PacingHold = {
  /** Nothing: all is moved. */
  done: 'done',
  /** The shift cap, link or region limit has no room. */
  cap: 'cap',
  /** The receivers' targets are still warming up or busy. */
  receivers: 'receivers',
  /** The greatest rate at which anything is moved. */
  rate: 'rate',
  /** New work is moved; what runs on the source has not ended yet. */
  running: 'running'
} as const

type PacingHold = (typeof PacingHold)[keyof typeof PacingHold]

export { PacingHold }
