import { connect } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Cluster, kowhai, sendJson, withSmallestSizes } from 'almondrelay-stand-ins'

interface Refusal {
  outcome: string
  reason: string
  message: string
}

const ID = '01a23897-0f8d-746d-b7dc-ed68a61ac8a6'

/** Sends raw bytes and resolves with what came back once the host has ended the connection. */
function sendRaw (address: string, bytes: string): Promise<string> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve, reject) => {
    let answer = ''
    const socket = connect(Number(port), host, () => { socket.write(bytes) })
    socket.on('data', (data) => { answer += data.toString() })
    socket.on('error', reject)
    socket.on('close', () => { resolve(answer) })
  })
}

// Callers, peers and operators send what they shouldn't. Each gets a clear error that names the remedy, nothing
// reaches a target, and the process lives on.
test('bad input gets a clear error and the process lives on', async () => {
  const owner = new AbortController()
  const cluster = await Cluster.start({ deployment: withSmallestSizes(kowhai), signal: owner.signal })
  const host = cluster.findHost('akl-a-1')
  const send = async (path: string, headers: Record<string, string> = {}, body: unknown = {}) => {
    const reply = await sendJson({ method: 'POST', address: host.plan.caller, path, headers, body })
    return { status: reply.status, ...(reply.body as Refusal) }
  }
  const getSummary = ({ status, outcome, reason }: { status: number, outcome: string, reason: string }) => `${status} ${outcome} ${reason}`
  assert.is(getSummary(await send('/s/nowhere/x')), '404 not-run unknown-service')
  assert.is(getSummary(await send('/s/approvals/x')), '428 not-run missing-id')
  assert.is(getSummary(await send('/s/approvals/x', { 'idempotency-key': ID })), '428 not-run missing-home')
  assert.is(getSummary(await send('/s/approvals/x', { 'idempotency-key': 'x', 'almondrelay-home': 'a;1' })), '400 not-run invalid-header')
  assert.is(getSummary(await send('/s/approvals/x', { 'idempotency-key': ID, 'almondrelay-home': 'a;1', 'almondrelay-deadline': 'soon' })), '400 not-run invalid-header')
  assert.is(getSummary(await send('/s/approvals/x', {}, { long: 'x'.repeat(2_000_000) })), '413 not-run body-too-large')
  assert.is(getSummary(await send('/s/approvals/x', { 'idempotency-key': ID, 'almondrelay-home': 'akl-a-1;1' })), '502 unknown home-gone')
  assert.match(await sendRaw(host.plan.caller, 'POST /s/approvals/x HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf'), /408|^$/)
  assert.match(await sendRaw(host.plan.caller, 'nonsense\r\n\r\n'), /400/)
  assert.match(await sendRaw(host.plan.caller, `POST /s/approvals/x HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n200000\r\n${'x'.repeat(0x200000)}`), /413.*body-too-large/s)
  await sendRaw(host.plan.peer, 'nonsense\r\n\r\n')
  const written = await sendJson({ method: 'PUT', address: host.plan.operator, path: '/v1/resources/Region/akl', body: { availabilityZones: 7 }, headers: {} })
  assert.is(written.status, 400)
  const runs = await Promise.all(cluster.targets.map(async (target) => (await target.readRuns()).total))
  assert.is(runs.reduce((sum, each) => sum + each, 0), 0)
  assert.ok(host.program.isRunning())
  assert.is((await host.readStatus()).isReady, true)
  owner.abort()
  await Promise.all(cluster.hosts.map(async (each) => await each.program.exited))
})

test.run()
