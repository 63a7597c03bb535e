import type { OperatorClient } from '../client/operatorClient.js'
import { waitForReach } from '../client/waitForReach.js'
import { ExitCode } from '../common/exitCode.js'
import type { Terminal } from '../common/terminal.js'
import { describeReach } from '../output/describeReach.js'
import { OutputFormat } from '../output/outputFormat.js'

/** Waits until a revision is in force and prints where; sets ExitCode.timeout if the revision is not in force in time. */
export async function reportReach (terminal: Terminal, client: OperatorClient, revision: number, waitMs: number, output: OutputFormat): Promise<void> {
  const reach = await waitForReach(client, revision, waitMs, terminal.signal)
  terminal.writeLine(output === OutputFormat.json ? JSON.stringify({ revision, ...reach }) : describeReach(revision, reach))
  if (!reach.inForce) terminal.setExitCode(ExitCode.timeout)
}
