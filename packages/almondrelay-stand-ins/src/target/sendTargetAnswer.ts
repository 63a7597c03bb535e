import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { ServerResponse } from 'node:http'
import type { TargetFaults } from './targetFaults.js'

/** How many bytes less than it sends a target states when its length is wrong. */
const MISSING_BYTES = 7

/** Sends an answer, broken as the fault switches say. */
export function sendTargetAnswer (outgoing: ServerResponse, answer: string, faults: TargetFaults): Response {
  const bytes = Buffer.from(answer)
  if (faults.closeBeforeAnswer) {
    outgoing.socket?.destroy()
    return RESPONSE_ALREADY_SENT
  }
  const length = faults.wrongLength ? bytes.length - MISSING_BYTES : bytes.length
  outgoing.writeHead(faults.status, { 'content-type': 'application/json', 'content-length': length })
  if (faults.truncateBody) outgoing.write(bytes.subarray(0, bytes.length / 2), () => outgoing.socket?.destroy())
  else outgoing.end(bytes)
  return RESPONSE_ALREADY_SENT
}
