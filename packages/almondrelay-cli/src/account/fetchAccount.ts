import { AccountReport } from 'almondrelay'
import type { OperatorClient } from '../client/operatorClient.js'
import { parseAnswer } from '../client/parseAnswer.js'

/** Reading the pages of a long span takes the host many calls to the platform. */
const TIMEOUT_MS = 60_000

/** The account of a span of time in milliseconds since the Unix epoch. */
export async function fetchAccount (client: OperatorClient, since: number, until: number): Promise<AccountReport> {
  const answer = await client.ask({ method: 'GET', path: `/v1/account?since=${since}&until=${until}`, timeoutMs: TIMEOUT_MS })
  return parseAnswer(answer, AccountReport, 'the account')
}
