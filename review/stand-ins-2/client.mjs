import { request } from 'node:http'
import { randomBytes } from 'node:crypto'

/** Sends one request to an entry host on a connection of its own and resolves with what the client saw; never rejects. */
export const send = (address, { method = 'GET', path, host = 'a.example', body, deadlineMs = 2_500, headers = {}, leaveAfterMs, agent, localAddress }) => new Promise((resolve) => {
  const id = randomBytes(8).toString('hex')
  const [ip, port] = address.split(':')
  const sentAt = performance.now()
  const finish = (result) => {
    clearTimeout(timer)
    clearTimeout(leaveTimer)
    resolve({ id, sentAt, ms: Math.round(performance.now() - sentAt), ...result })
  }
  const outgoing = request({ host: ip, port, method, path, agent: agent ?? false, localAddress, headers: { Host: host, 'Relay-Request-Id': id, 'Deadline-Ms': String(deadlineMs), ...(body === undefined || headers['Transfer-Encoding'] !== undefined ? {} : { 'Content-Length': body.length }), ...headers } })
  const timer = setTimeout(() => { finish({ error: 'no answer' }); outgoing.destroy() }, deadlineMs + 2_000)
  const leaveTimer = leaveAfterMs === undefined ? undefined : setTimeout(() => { finish({ error: 'left' }); outgoing.destroy() }, leaveAfterMs)
  outgoing.on('error', (error) => { finish({ error: error.code ?? error.message }) })
  outgoing.on('response', (response) => {
    const chunks = []
    response.on('data', (chunk) => { chunks.push(chunk) })
    response.on('error', (error) => { finish({ error: error.code ?? error.message }) })
    response.on('end', () => { finish({ status: response.statusCode, stamp: response.headers['response-stamp'], retryAfter: response.headers['retry-after'], body: Buffer.concat(chunks).toString() }) })
  })
  outgoing.end(body)
})

export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })
