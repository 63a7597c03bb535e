import { connect, type AddressInfo } from 'node:net'
import type { Server } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { makeTestGuard } from 'almondrelay/testing'
import { listenForGet } from '../listenForGet.js'
import type { PlainAnswer } from '../plainAnswer.js'

const test = suite('listenForGet')
let server: Server
let seen: string[] = []
let errors: Error[] = []

const exchange = (head: string): Promise<string> => new Promise((resolve) => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  socket.on('data', (bytes) => { text += bytes.toString() })
  socket.on('close', () => { resolve(text) })
  socket.end(`${head}\r\nHost: a\r\nConnection: close\r\n\r\n`, 'latin1')
})
const answerGet = (path: string, query: URLSearchParams): Promise<PlainAnswer> => {
  if (path === '/throws') throw new Error('thrown')
  seen.push(`${path} ${query.get('region') ?? ''}`)
  return Promise.resolve({ status: 200, type: 'text/plain', body: 'ok' })
}

test.before.each(async () => {
  seen = []
  errors = []
  server = await listenForGet('127.0.0.1', 0, makeTestGuard(), answerGet, (error) => { errors.push(error) })
})
test.after.each(() => { server.close() })

// Guards against a process that ends because of the address in one request.
for (const target of ['//', '//a:b/', '*', 'http://[', 'http://a:99999/', 'x', '?', '%']) {
  test(`a request for "${target}" is answered 400`, async () => {
    assert.match(await exchange(`GET ${target} HTTP/1.1`), /^HTTP\/1\.1 400 /)
    assert.equal(seen, [])
  })
}

test('a path with a query, and an absolute address, are answered', async () => {
  assert.match(await exchange('GET /v1/resolve?region=akl HTTP/1.1'), /^HTTP\/1\.1 200 /)
  assert.match(await exchange('GET http://a.example/v1/resolve?region=wlg HTTP/1.1'), /^HTTP\/1\.1 200 /)
  assert.equal(seen, ['/v1/resolve akl', '/v1/resolve wlg'])
})

test('an error of the handling is answered 500 and logged', async () => {
  assert.match(await exchange('GET /throws HTTP/1.1'), /^HTTP\/1\.1 500 /)
  assert.equal(errors.map(({ message }) => message), ['thrown'])
})

test.run()
