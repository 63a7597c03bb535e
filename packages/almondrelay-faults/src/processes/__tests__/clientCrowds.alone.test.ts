import { connect as connectHttp2, constants, type ClientHttp2Session } from 'node:http2'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { Crowd, readProcessUsage } from 'almondrelay/testing'
import { Cluster, kowhai, sendJson, type Deployment, type HostHandle } from 'almondrelay-stand-ins'

interface PortCase {
  getAddress: (plan: HostHandle['plan']) => string
  form: { start?: string, text: string, connections?: number, bytesEach?: number }
}

/** Flags of the daemon: a small heap, which a small crowd fills. */
const NODE_OPTIONS = '--max-old-space-size=64 --max-semi-space-size=4'
/** Limits that the settings state, and that the process must keep. */
const LIMITS = { memoryMb: 250, maxDescriptors: 300 }
const CROWD = { connections: 100, bytesEach: 1_000_000 }
const MANY = { connections: 400, bytesEach: 1, text: 'G' }
const MAX_CALLS = 10
const CALL_TIMEOUT_MS = 5_000
const DEPLOYMENT: Deployment = {
  ...kowhai,
  regions: [{ name: 'akl', availabilityZones: [{ name: 'akl-a', hosts: 1 }], clientBlock: '10.1.0.0/16' }],
  services: kowhai.services.slice(0, 1).map((service) => ({ ...service, targets: 1 }))
}
const DISTINCT_LINES = Array.from({ length: 1_800 }, (_, index) => `x${index}:\r\n`).join('')
const CHUNK = `8000\r\n${'b'.repeat(0x8000)}\r\n`

const makeHead = (path: string, lines = '', method = 'GET'): string => `${method} ${path} HTTP/1.1\r\nHost: x\r\n${lines}\r\n`
const getPort = (address: string): number => Number(address.split(':')[1])

const PORTS: Record<string, PortCase> = {
  'look-ups at the callers\' port': { getAddress: ({ caller }) => caller, form: { text: makeHead('/v1/lookup?service=balances') } },
  'requests at the callers\' port': { getAddress: ({ caller }) => caller, form: { text: makeHead('/s/balances/balances') } },
  'requests for no service at the callers\' port': { getAddress: ({ caller }) => caller, form: { text: makeHead('/s/none/x') } },
  'requests at another path of the callers\' port': { getAddress: ({ caller }) => caller, form: { text: makeHead('/none') } },
  'heads of many lines at the callers\' port': { getAddress: ({ caller }) => caller, form: { text: makeHead('/none', DISTINCT_LINES) } },
  'unfinished bodies at the callers\' port': { getAddress: ({ caller }) => caller, form: { start: makeHead('/s/balances/balances', 'Content-Length: 1040000\r\n', 'POST'), text: 'body' } },
  'bodies in chunks without an end at the callers\' port': { getAddress: ({ caller }) => caller, form: { connections: 10, bytesEach: 40_000_000, start: makeHead('/s/balances/balances', 'Transfer-Encoding: chunked\r\n', 'POST'), text: CHUNK } },
  'silent connections at the callers\' port': { getAddress: ({ caller }) => caller, form: MANY },
  'requests at the operators\' port': { getAddress: ({ operator }) => operator, form: { text: makeHead('/v1/status') } },
  'requests at another path of the operators\' port': { getAddress: ({ operator }) => operator, form: { text: makeHead('/none') } },
  'bodies in chunks without an end at the operators\' port': { getAddress: ({ operator }) => operator, form: { connections: 10, bytesEach: 40_000_000, start: makeHead('/v1/resources/Region/akl', 'Transfer-Encoding: chunked\r\n', 'PUT'), text: CHUNK } },
  'silent connections at the operators\' port': { getAddress: ({ operator }) => operator, form: MANY },
  'silent connections at the hosts\' port': { getAddress: ({ peer }) => peer, form: MANY }
}

const withHost = async (use: (host: HostHandle) => Promise<void>): Promise<void> => {
  const owner = new AbortController()
  const before = process.env['NODE_OPTIONS']
  process.env['NODE_OPTIONS'] = NODE_OPTIONS
  try {
    const cluster = await Cluster.start({ deployment: DEPLOYMENT, hostSettings: { limits: LIMITS }, signal: owner.signal })
    const [host] = cluster.hosts
    assert.ok(host !== undefined)
    await use(host as HostHandle)
  } finally {
    if (before === undefined) delete process.env['NODE_OPTIONS']
    else process.env['NODE_OPTIONS'] = before
    owner.abort()
  }
}
const checkUsage = (host: HostHandle): void => {
  assert.ok(host.program.isRunning(), 'the process lives')
  const { peakMb = 0, descriptors } = readProcessUsage(host.program.getPid())
  assert.ok(peakMb <= LIMITS.memoryMb, `the process took ${Math.round(peakMb)} MB of ${LIMITS.memoryMb}`)
  assert.ok(descriptors <= LIMITS.maxDescriptors, `the process had ${descriptors} descriptors open of ${LIMITS.maxDescriptors}`)
}
const checkOrdinaryCaller = async (host: HostHandle, when: string): Promise<void> => {
  let last = ''
  for (let calls = 0; calls < MAX_CALLS && host.program.isRunning(); calls += 1) {
    last = await sendJson({ method: 'GET', address: host.plan.caller, path: '/s/balances/balances', headers: { connection: 'close' }, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) }).then(({ status }) => String(status), (error: Error) => error.message)
    if (last === '200') return
    await new Promise((resolve) => { setTimeout(resolve, 100) })
  }
  assert.unreachable(`an ordinary caller is answered ${when}; its last call got ${last}`)
}

for (const [name, { getAddress, form }] of Object.entries(PORTS)) {
  // Guards against a daemon that ends, or shuts ordinary callers out, because of clients that send ahead and don't read.
  test(`the daemon keeps its limits and serves other callers beside ${name}`, async () => {
    await withHost(async (host) => {
      const crowd = await Crowd.start({ ...CROWD, ...form, port: getPort(getAddress(host.plan)) })
      try {
        checkUsage(host)
        await checkOrdinaryCaller(host, 'while the crowd stays')
      } finally {
        await crowd.leave()
      }
      await checkOrdinaryCaller(host, 'afterwards')
      checkUsage(host)
    })
  })
}

/** Opens HTTP/2 sessions whose flow control lets nothing through to the client, each with many streams. */
const openSessions = async (address: string, count: number, streams: number, path: string, body: Buffer): Promise<ClientHttp2Session[]> => {
  const sessions = Array.from({ length: count }, () => {
    const session = connectHttp2(`http://${address}`, { settings: { initialWindowSize: 0 }, peerMaxConcurrentStreams: streams })
    session.on('error', () => undefined)
    for (let stream = 0; stream < streams; stream += 1) {
      const request = session.request({ [constants.HTTP2_HEADER_METHOD]: 'POST', [constants.HTTP2_HEADER_PATH]: path, 'content-type': 'application/proto', 'connect-protocol-version': '1' }, { endStream: false })
      request.on('error', () => undefined)
      request.write(body)
    }
    return session
  })
  await new Promise((resolve) => { setTimeout(resolve, 3_000) })
  return sessions
}

const SESSIONS: Record<string, { sessions: number, streams: number, path: string, bytes: number }> = {
  'many streams at no method of the hosts\' port': { sessions: 50, streams: 1_000, path: '/none', bytes: 0 },
  'many unfinished calls at the hosts\' port': { sessions: 50, streams: 1_000, path: '/almondrelay.peer.v1.PeerService/Exchange', bytes: 100 },
  'large unfinished calls at the hosts\' port': { sessions: 20, streams: 10, path: '/almondrelay.peer.v1.PeerService/Exchange', bytes: 2_000_000 }
}
for (const [name, { sessions: count, streams, path, bytes }] of Object.entries(SESSIONS)) {
  // Guards against a daemon that ends because of HTTP/2 clients at the port for other hosts.
  test(`the daemon keeps its limits and serves other callers beside ${name}`, async () => {
    await withHost(async (host) => {
      const sessions = await openSessions(host.plan.peer, count, streams, path, Buffer.alloc(bytes))
      try {
        checkUsage(host)
        await checkOrdinaryCaller(host, 'while the crowd stays')
      } finally {
        for (const session of sessions) session.destroy()
      }
      await checkOrdinaryCaller(host, 'afterwards')
      checkUsage(host)
    })
  })
}

test.run()
