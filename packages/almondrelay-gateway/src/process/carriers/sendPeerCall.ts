import { request, type Agent } from 'node:http'
import type { AnswerMemory } from '../../connection/answerMemory.js'
import { CARRIER_CONTENT_TYPE } from './carrierContentType.js'
import { PeerCallFailure } from './peerCallFailure.js'

interface PeerCall {
  ip: string
  port: number
  path: string
  body: Uint8Array
  /** Milliseconds within which the connection must be open. */
  connectTimeoutMs: number
  /** Called once the connection is open and the call is written. */
  handleSend: () => void
  /** Counts the bytes of the answer while they are received. */
  memory: AnswerMemory
}

type PeerReply =
  | { kind: 'answered', body: Buffer }
  | { kind: 'failed', failure: PeerCallFailure, reason: string }

const OK_STATUS = 200

/** Sends one unary call of the Connect protocol to another host and reads the whole answer. The signal closes its connection. */
export async function sendPeerCall (agent: Agent, call: PeerCall, signal: AbortSignal): Promise<PeerReply> {
  try {
    return await sendUnaryCall(agent, call, signal)
  } catch (error) {
    // The address in the other host's entry can't be connected to.
    return { kind: 'failed', failure: PeerCallFailure.notSent, reason: (error as Error).message }
  }
}

const sendUnaryCall = (agent: Agent, { ip, port, path, body, connectTimeoutMs, handleSend, memory }: PeerCall, signal: AbortSignal): Promise<PeerReply> =>
  new Promise((resolve) => {
    const outgoing = request({ host: ip, port, path, agent, method: 'POST', signal, headers: { 'Content-Type': CARRIER_CONTENT_TYPE, 'Connect-Protocol-Version': '1', 'Content-Length': body.byteLength } })
    let wasSent = false
    const resolveFailure = (reason: string): void => {
      clearTimeout(timer)
      resolve({ kind: 'failed', failure: wasSent ? PeerCallFailure.answerLost : PeerCallFailure.notSent, reason })
      outgoing.destroy()
    }
    const timer = setTimeout(() => { resolveFailure('connect timeout') }, connectTimeoutMs)
    const write = (): void => {
      clearTimeout(timer)
      if (signal.aborted) return
      wasSent = true
      handleSend()
      outgoing.end(body)
    }
    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', write)
      else write()
    })
    outgoing.on('error', (error) => { resolveFailure(error.message) })
    outgoing.on('response', (response) => {
      const chunks: Buffer[] = []
      let bytes = 0
      response.on('data', (chunk: Buffer) => {
        bytes += chunk.byteLength
        chunks.push(chunk)
        if (!memory.hold(chunk.byteLength)) resolveFailure('the answer is larger than there is room for')
      })
      response.on('error', (error) => { resolveFailure(error.message) })
      response.on('close', () => {
        memory.release(bytes)
        if (!response.complete) resolveFailure('answer cut short')
        else if (response.statusCode === OK_STATUS) resolve({ kind: 'answered', body: Buffer.concat(chunks) })
        else resolve({ kind: 'failed', failure: PeerCallFailure.refused, reason: `status ${response.statusCode}` })
      })
    })
  })
