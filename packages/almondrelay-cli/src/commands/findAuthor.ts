import { userInfo } from 'node:os'
import type { Terminal } from '../common/terminal.js'

/** Returns the author of a write: the --author option, or else ALMONDRELAY_AUTHOR, or else the user of this machine. */
export function findAuthor (terminal: Terminal, author: string | undefined): string {
  return author ?? terminal.environment.ALMONDRELAY_AUTHOR ?? userInfo().username
}
