import { ExitCode } from '../common/exitCode.js'

/** Exit codes by the outcome of a write. */
export const exitCodeByOutcome = {
  accepted: ExitCode.ok,
  unchanged: ExitCode.ok,
  rejected: ExitCode.rejected,
  conflict: ExitCode.conflict,
  missing: ExitCode.absent,
  unknown: ExitCode.unknown
} as const
