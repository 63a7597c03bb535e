/** Throws unless a call was answered with a status of success. */
export function requireOk (what: string, reply: { status: number, body: unknown }): void {
  if (reply.status >= 200 && reply.status < 300) return
  throw new Error(`${what} was answered ${reply.status}: ${JSON.stringify(reply.body)}`)
}
