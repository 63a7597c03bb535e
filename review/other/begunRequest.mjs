// LOST, two disruptions: the store is silent and a host gets SIGTERM. A request that has begun when the host closes, 3 s after the SIGTERM, is read
// to its end and sent to an upstream, while the host already writes its last account page; then the process ends.
import { fileURLToPath } from 'node:url'
import { ClientConnection, encodeRequest } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/deployment.mjs'

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  const { record } = deployment
  deployment.configure(5, [{ prefix: '/orders/', kind: 'unsafe', service: 'ordersvc', timeout: '3000ms' }])
  const encode = ({ head }) => `HTTP/1.1 200 OK\r\n${head}Content-Length: 5\r\n\r\ndone\n`
  for (const id of ['i-order-1', 'i-order-2', 'i-order-3']) await deployment.addUpstream(id, 'ordersvc', { work: () => 1_200, encode })
  const host = await deployment.addHost()
  await deployment.addHost()
  await sleep(4_000)
  const early = new ClientConnection(host.ip, host.ports.front)
  await early.opened
  const { status } = await early.send({ id: 'order-0', method: 'POST', path: '/orders/0', body: 'an order', deadlineMs: 3_000 })
  record(`an order before: ${status}`)
  early.close()
  deployment.store.isSilent = hasTrouble
  if (hasTrouble) host.kill('SIGTERM')
  record(hasTrouble ? 'the store is silent, and the host gets SIGTERM' : 'nothing happens')
  await sleep(2_200)
  const play = async (number) => {
    const connection = new ClientConnection(host.ip, host.ports.front)
    await connection.opened
    const text = encodeRequest({ id: `order-${number}`, method: 'POST', path: `/orders/${number}`, body: 'an order', deadlineMs: 3_000 })
    connection.write(text.slice(0, 60))
    await sleep(1_200)
    connection.write(text.slice(60))
    const sentAt = performance.now()
    record(`client ${number} has sent its order whole, in 1.2 s`)
    const answer = await connection.expectAnswer(`order-${number}`)
    record(`client ${number} gets ${answer.status ?? `no answer (${answer.reason}), ${Math.round(answer.at - sentAt)} ms later`}`)
    connection.close()
    return answer
  }
  const answers = await Promise.all([1, 2, 3].map((number) => play(number)))
  const runs = deployment.upstreams.flatMap((upstream) => upstream.runs)
  const lost = answers.filter(({ id, status: own }) => own === undefined && runs.some((run) => run.id === id))
  return lost.length > 0
})
