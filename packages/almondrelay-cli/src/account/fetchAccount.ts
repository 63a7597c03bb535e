import { AccountReport } from 'almondrelay'
import type { OperatorClient } from '../client/operatorClient.js'
import { parseAnswer } from '../client/parseAnswer.js'

/** Longer than for other calls, since a host needs many calls to the platform to read the pages of a long span. */
const TIMEOUT_MS = 60_000

/** Fetches the account of a time span, given in milliseconds since the Unix epoch. */
export async function fetchAccount (client: OperatorClient, since: number, until: number): Promise<AccountReport> {
  const answer = await client.sendIdempotent({ method: 'GET', path: `/v1/account?since=${since}&until=${until}`, timeoutMs: TIMEOUT_MS })
  return parseAnswer(answer, AccountReport, 'the account')
}
