import { ErrorKind } from 'almondrelay'
import { ExitCode } from './exitCode.js'

/** The exit code of a command that ends with an error of this kind; ExitCode.failed for the others. */
export const exitCodeByKind: Partial<Record<ErrorKind, ExitCode>> = {
  [ErrorKind.settingsInvalid]: ExitCode.usage,
  [ErrorKind.requestInvalid]: ExitCode.usage,
  [ErrorKind.resourceInvalid]: ExitCode.rejected,
  [ErrorKind.resourceConflict]: ExitCode.conflict,
  [ErrorKind.resourceMissing]: ExitCode.absent,
  [ErrorKind.writeUnknown]: ExitCode.unknown,
  [ErrorKind.peerUnavailable]: ExitCode.unreachable
}
