/** Exit codes of both programs; `almondrelay --help` lists them. */
const ExitCode = {
  /** Done, or what was asked holds. */
  ok: 0,
  /** An error that no other code stands for. */
  failed: 1,
  /** A wrong command line or wrong settings; nothing was started or sent. */
  usage: 2,
  /** A resource is invalid; it was not stored. */
  rejected: 3,
  /** Another write came first; this one was not stored. */
  conflict: 4,
  /** Whether the write was stored is not known; the message names its write id. */
  unknown: 5,
  /** No host given with --operator could be reached. */
  unreachable: 6,
  /** The time limit passed before what was asked held. */
  timeout: 7,
  /** What was asked for does not exist. */
  absent: 8,
  /** A replayed decision differs from the recorded one. */
  different: 9
} as const

type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]

export { ExitCode }
