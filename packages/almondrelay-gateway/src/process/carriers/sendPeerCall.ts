import { request, type Agent } from 'node:http'
import { isFinalStatus } from 'almondrelay'
import { HeldBytes } from '../../connection/heldBytes.js'
import type { MessageMemory } from '../../connection/messageMemory.js'
import { CARRIER_CONTENT_TYPE } from './carrierContentType.js'
import { PeerCallFailure } from './peerCallFailure.js'
import type { PeerReply } from './peerReply.js'

interface PeerCall {
  ip: string
  port: number
  path: string
  body: Uint8Array
  /** Milliseconds within which the other host must have acknowledged the call. */
  acknowledgeTimeoutMs: number
  /** Called when the other host has acknowledged the call, before the message is written; returns a reason not to write it. */
  handleAcknowledgement: () => string | undefined
  /** Counts the bytes of the answer while they are received. */
  memory: MessageMemory
}

const OK_STATUS = 200

/**
 * Sends one unary call of the Connect protocol to another host and reads the whole answer. The signal resets its connection, so that a call
 * that a link holds back doesn't arrive after it was given up.
 *
 * The message is written only once the other host's process has answered the head with "100 Continue": the kernel of a stopped process
 * accepts connections and bytes, so that without it nobody could tell whether the process will act on the call when it resumes.
 */
export async function sendPeerCall (agent: Agent, call: PeerCall, signal: AbortSignal): Promise<PeerReply> {
  try {
    return await sendUnaryCall(agent, call, signal)
  } catch (error) {
    // The address in the other host's entry can't be connected to.
    return { kind: 'failed', failure: PeerCallFailure.notSent, reason: (error as Error).message }
  }
}

const sendUnaryCall = (agent: Agent, { ip, port, path, body, acknowledgeTimeoutMs, handleAcknowledgement, memory }: PeerCall, signal: AbortSignal): Promise<PeerReply> =>
  new Promise((resolve) => {
    const outgoing = request({ host: ip, port, path, agent, method: 'POST', headers: { 'Content-Type': CARRIER_CONTENT_TYPE, 'Connect-Protocol-Version': '1', 'Content-Length': body.byteLength, Expect: '100-continue' } })
    let wasSent = false
    let isAcknowledged = false
    const resolveFailure = (reason: string, failure: PeerCallFailure = wasSent ? PeerCallFailure.answerLost : PeerCallFailure.notSent): void => {
      stopWaiting()
      resolve({ kind: 'failed', failure, reason })
      if (outgoing.destroyed) return
      outgoing.socket?.resetAndDestroy()
      outgoing.destroy()
    }
    const handleAbort = (): void => { resolveFailure('given up') }
    const stopWaiting = (): void => {
      clearTimeout(timer)
      signal.removeEventListener('abort', handleAbort)
    }
    // Bytes that arrived while this process itself was delayed are read before the immediate runs.
    const timer = setTimeout(() => {
      setImmediate(() => { if (!isAcknowledged) resolveFailure('no acknowledgement in time', PeerCallFailure.unacknowledged) })
    }, acknowledgeTimeoutMs)
    outgoing.once('continue', () => {
      clearTimeout(timer)
      isAcknowledged = true
      if (signal.aborted) return
      const stopReason = handleAcknowledgement()
      if (stopReason !== undefined) {
        resolveFailure(stopReason)
        return
      }
      wasSent = true
      outgoing.end(body)
    })
    outgoing.on('error', (error) => { resolveFailure(error.message) })
    outgoing.on('response', (response) => {
      clearTimeout(timer)
      isAcknowledged = true
      const { socket } = response
      const chunks: Buffer[] = []
      const held = new HeldBytes(memory)
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk)
        if (!held.hold(chunk.byteLength)) resolveFailure('the answer is larger than there is room for')
      })
      response.on('error', (error) => { resolveFailure(error.message) })
      response.on('close', () => {
        held.release()
        if (!response.complete) resolveFailure('answer cut short')
        else if (wasSent && response.statusCode === OK_STATUS) {
          stopWaiting()
          resolve({ kind: 'answered', body: Buffer.concat(chunks), closeConnection: () => { socket.destroy() } })
        } else if (isFinalStatus(response.statusCode ?? 0)) resolveFailure(`status ${response.statusCode}`, PeerCallFailure.refused)
        else resolveFailure(`status ${response.statusCode}, which HTTP does not know`)
      })
    })
    signal.addEventListener('abort', handleAbort, { once: true })
    if (signal.aborted) handleAbort()
    else outgoing.flushHeaders()
  })
