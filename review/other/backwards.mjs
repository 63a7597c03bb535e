// A hang, but by an answer that hardly any fault makes: a Content-Length of minus the length of the head lets the parser read the same head for ever.
import { fileURLToPath } from 'node:url'
import { ClientConnection } from '../lib/client.mjs'
import { runCase, sleep } from '../lib/deployment.mjs'

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  const { record } = deployment
  deployment.configure(5, [{ prefix: '/lookups/', kind: 'safe', service: 'regsvc', timeout: '2500ms' }])
  let answers = 0
  const encode = ({ head }) => {
    answers += 1
    if (!hasTrouble || answers !== 3) return `HTTP/1.1 200 OK\r\n${head}Content-Length: 5\r\n\r\ndone\n`
    const make = (length) => `HTTP/1.1 200 OK\r\n${head}Content-Length: -${length}\r\n\r\n`
    return `${make(make(100).length)}done\n`
  }
  for (const id of ['i-reg-1', 'i-reg-2']) await deployment.addUpstream(id, 'regsvc', { work: () => 50, encode })
  const host = await deployment.addHost()
  await sleep(1_500)
  const results = []
  for (let number = 1; number <= 6; number += 1) {
    const connection = new ClientConnection(host.ip, host.ports.front)
    const answer = await Promise.race([connection.send({ id: `r-${number}`, path: `/lookups/${number}`, deadlineMs: 2_500 }), sleep(4_000).then(() => undefined)])
    results.push(answer?.status ?? 'no answer in 4 s')
    connection.close()
  }
  record(`answers: ${results.join(', ')}; ready: ${await host.isReady()}`)
  return results.at(-1) !== 200
})
