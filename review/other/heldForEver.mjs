// No rule, and more clients than any page has: a host counts the answers to clients that left with requests waiting as held, for ever. From
// 24 MB on it refuses every request. Answers are as large as the largest report-pdf of dala-vhc.
import { fileURLToPath } from 'node:url'
import { ClientConnection } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/deployment.mjs'

const ANSWER_BYTES = 540_000

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  const { record } = deployment
  deployment.configure(5, [{ prefix: '/slow/', kind: 'safe', service: 'regsvc', timeout: '2500ms' }, { prefix: '/reports/', kind: 'download', service: 'regsvc', timeout: '2500ms' }])
  const encode = ({ head, request }) => {
    const length = request.url.startsWith('/reports/') ? ANSWER_BYTES : 5
    return `HTTP/1.1 200 OK\r\n${head}Content-Length: ${length}\r\n\r\n${'x'.repeat(length)}`
  }
  for (let index = 0; index < 4; index += 1) await deployment.addUpstream(`i-reg-${index + 1}`, 'regsvc', { slots: 6, work: ({ url }) => url.startsWith('/slow/') ? 1_000 : 50, encode })
  const host = await deployment.addHost()
  await sleep(1_500)
  let number = 0
  const open = async () => {
    const connection = new ClientConnection(host.ip, host.ports.front)
    await connection.opened
    return connection
  }
  const tryOnce = async () => {
    number += 1
    const connection = await open()
    const { status } = await connection.send({ id: `r-${number}`, path: `/slow/${number}`, deadlineMs: 2_500 })
    connection.close()
    return status
  }
  record(`a request before: ${await tryOnce()}`)
  for (let round = 0; round < 60; round += 1) {
    number += 1
    const connection = await open()
    const answers = [connection.send({ id: `a-${number}`, path: `/slow/${number}`, deadlineMs: 2_500 }), connection.send({ id: `b-${number}`, path: `/reports/${number}`, deadlineMs: 2_500 })]
    if (hasTrouble) await sleep(250)
    else await Promise.all(answers)
    connection.close()
  }
  const statuses = []
  for (let second = 0; second < 40; second += 1) {
    await sleep(1_000)
    statuses.push(await tryOnce())
  }
  record(`a request a second for 40 s after the last of those clients left: ${statuses.join(' ')}`)
  return statuses.at(-1) === 503
})
