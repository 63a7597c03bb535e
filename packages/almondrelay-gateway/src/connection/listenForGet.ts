import { createServer, type Server } from 'node:http'
import type { PlainAnswer } from './plainAnswer.js'

/** Starts an HTTP server for GET requests: readiness, look-ups and metrics. */
export function listenForGet (ip: string, port: number, answerGet: (path: string, query: URLSearchParams) => Promise<PlainAnswer>, logError: (error: Error) => void): Promise<Server> {
  const server = createServer((message, response) => {
    const url = new URL(message.url ?? '/', 'http://host')
    message.resume()
    answerGet(url.pathname, url.searchParams).then(
      (answer) => { response.writeHead(answer.status, { 'Content-Type': answer.type }).end(answer.body) },
      (error: Error) => { logError(error); response.writeHead(500).end() })
  })
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, ip, () => { resolve(server) })
  })
}
