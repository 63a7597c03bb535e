// A crash, but by a request that no page allows: one look-up with the path "//" ends the process.
import { fileURLToPath } from 'node:url'
import { connect } from 'node:net'
import { runCase, sleep } from '../lib/deployment.mjs'

await runCase(fileURLToPath(new URL('.', import.meta.url)), async (deployment, hasTrouble) => {
  deployment.configure(5, [{ prefix: '/lookups/', kind: 'safe', service: 'regsvc', timeout: '2500ms' }])
  const host = await deployment.addHost()
  let end
  host.exited.then((code) => { end = code })
  const socket = connect({ host: host.ip, port: host.ports.directory })
  socket.on('error', () => undefined)
  socket.write(`GET ${hasTrouble ? '//' : '/v1/resolve'} HTTP/1.1\r\nHost: a.example\r\n\r\n`)
  await sleep(1_000)
  deployment.record(end === undefined ? 'the process runs' : `the process has ended with ${end}: ${host.log.split('\n').find((line) => line.includes('TypeError')) ?? ''}`)
  socket.destroy()
  return end !== undefined
})
