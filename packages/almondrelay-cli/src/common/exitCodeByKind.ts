import { ErrorKind } from 'almondrelay'
import { ExitCode } from './exitCode.js'

/** Exit codes by the kind of error that ends a command; ExitCode.failed applies to kinds that are not listed. */
export const exitCodeByKind: Partial<Record<ErrorKind, ExitCode>> = {
  [ErrorKind.settingsInvalid]: ExitCode.usage,
  [ErrorKind.requestInvalid]: ExitCode.usage,
  [ErrorKind.resourceInvalid]: ExitCode.rejected,
  [ErrorKind.resourceConflict]: ExitCode.conflict,
  [ErrorKind.resourceMissing]: ExitCode.absent,
  [ErrorKind.writeUnknown]: ExitCode.unknown,
  [ErrorKind.peerUnavailable]: ExitCode.unreachable
}
