import type { IncomingMessage, Server } from 'node:http'
import { createClientServer, type ClientGuardParts } from 'almondrelay'
import { parseRequestTarget } from './parseRequestTarget.js'
import type { PlainAnswer } from './plainAnswer.js'

type AnswerGet = (path: string, query: URLSearchParams) => Promise<PlainAnswer>

const BAD_REQUEST: PlainAnswer = { status: 400, type: 'text/plain', body: '' }
const FAILED: PlainAnswer = { status: 500, type: 'text/plain', body: '' }

/** Starts an HTTP server for GET requests: readiness, look-ups and metrics. */
export function listenForGet (ip: string, port: number, guard: ClientGuardParts, answerGet: AnswerGet, logError: (error: Error) => void): Promise<Server> {
  const server = createClientServer(guard, {}, (message, response) => {
    message.resume()
    answerMessage(message, answerGet).catch((error: Error) => {
      logError(error)
      return FAILED
    }).then(({ status, type, body }) => { response.writeHead(status, { 'Content-Type': type }).end(body) }, logError)
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, () => { resolve(server) })
  })
}

const answerMessage = async (message: IncomingMessage, answerGet: AnswerGet): Promise<PlainAnswer> => {
  const url = parseRequestTarget(message.url ?? '')
  return url === undefined ? BAD_REQUEST : await answerGet(url.pathname, url.searchParams)
}
