/** Exit codes of both programs; `almondrelay --help` lists them. */
const ExitCode = {
  /** Done, or the awaited state holds. */
  ok: 0,
  /** Any error without a code of its own. */
  failed: 1,
  /** A wrong command line or wrong settings; nothing was started or sent. */
  usage: 2,
  /** A resource is invalid; it was not stored. */
  rejected: 3,
  /** Another write came first; this one was not stored. */
  conflict: 4,
  /** It is not known whether the write was stored; the message gives its write id. */
  unknown: 5,
  /** No host given with --operator could be reached. */
  unreachable: 6,
  /** The time limit passed before the awaited state held. */
  timeout: 7,
  /** The resource, request or write does not exist. */
  absent: 8,
  /** A replayed decision differs from the recorded one. */
  different: 9
} as const

type ExitCode = (typeof ExitCode)[keyof typeof ExitCode]

export { ExitCode }
