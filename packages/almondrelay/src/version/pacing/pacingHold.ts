/** What currently limits a drain or shift; stated in its status. */
const PacingHold = {
  /** Nothing: all new work is moved. */
  done: 'done',
  /** The shift cap, link or region limit has no room. */
  cap: 'cap',
  /** The receiving targets are still warming up or busy. */
  receivers: 'receivers',
  /** The maximum rate at which work is moved. */
  rate: 'rate',
  /** All new work is moved; requests still run on the source. */
  running: 'running'
} as const

type PacingHold = (typeof PacingHold)[keyof typeof PacingHold]

export { PacingHold }
