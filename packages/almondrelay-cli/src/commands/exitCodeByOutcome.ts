import { ExitCode } from '../common/exitCode.js'

/** The exit code of a write by what became of it. */
export const exitCodeByOutcome = {
  accepted: ExitCode.ok,
  unchanged: ExitCode.ok,
  rejected: ExitCode.rejected,
  conflict: ExitCode.conflict,
  missing: ExitCode.absent,
  unknown: ExitCode.unknown
} as const
