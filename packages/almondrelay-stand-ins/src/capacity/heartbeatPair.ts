import { createServer } from 'node:http2'
import { connect, createServer as createTcpServer, type AddressInfo, type Server } from 'node:net'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node'
import { ExchangeRequestSchema, PeerService } from 'almondrelay-protocol'
import { ConfigurationStore, ExchangeHub, handleExchange, LeavingTargets, type ExchangeOptions } from 'almondrelay'
import type { FakeClock } from 'almondrelay/testing'
import { makeMembership } from './makeMembership.js'

interface PairOptions {
  hostsInZone: number
  zones: number
  regions: number
  /** Index of the second host; the first is 0. */
  peer: number
  clock: FakeClock
}

/** Two hosts that exchange heartbeats over a real HTTP/2 connection, through a relay that counts its bytes. */
export class HeartbeatPair {
  bytes = 0
  private readonly owner = new AbortController()
  private readonly first: ExchangeHub
  private readonly second: ExchangeHub
  private servers: Server[] = []
  private sessions: Http2SessionManager | undefined

  constructor (private readonly options: PairOptions) {
    this.first = this.buildHub(0)
    this.second = this.buildHub(options.peer)
  }

  /** Opens the connection; returns the exchange of one heartbeat and its answer. */
  async open (): Promise<() => Promise<void>> {
    const server = createServer(connectNodeAdapter({ routes: (router) => { router.service(PeerService, { exchange: (request) => handleExchange(request, this.second) }) } }))
    const port = await this.listen(server as unknown as Server)
    const relay = createTcpServer((incoming) => {
      const outgoing = connect(port, '127.0.0.1')
      for (const [from, to] of [[incoming, outgoing], [outgoing, incoming]] as const) {
        from.on('data', (data: Buffer) => { this.bytes += data.length })
        from.on('error', () => { to.destroy() })
        from.pipe(to)
      }
    })
    const baseUrl = `http://127.0.0.1:${await this.listen(relay)}`
    this.sessions = new Http2SessionManager(baseUrl)
    const client = createClient(PeerService, createConnectTransport({ baseUrl, httpVersion: '2', sessionManager: this.sessions }))
    const peer = this.second.options.self.host
    return async () => {
      const now = this.options.clock.getNow()
      const sent = this.first.buildMessage(peer, now)
      const answer = await client.exchange(create(ExchangeRequestSchema, sent.message))
      this.first.receiveMessage(answer, now, (progress) => Object.assign(progress, { confirmed: Math.max(progress.confirmed, sent.upTo), isBroken: false }))
    }
  }

  async close (): Promise<void> {
    this.owner.abort()
    this.sessions?.abort()
    await Promise.all(this.servers.map((server) => new Promise<void>((resolve) => { server.close(() => { resolve() }) })))
  }

  private async listen (server: Server): Promise<number> {
    this.servers.push(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return (server.address() as AddressInfo).port
  }

  private buildHub (self: number): ExchangeHub {
    const { clock } = this.options
    const { membership, options } = makeMembership(this.options, self, clock.getNow())
    const store = new ConfigurationStore()
    store.markReady()
    const unused = { createClient: () => { throw new Error('not used') }, handleRefusal: () => {}, log: { trace () {}, debug () {} } as unknown as ExchangeOptions['log'] }
    return new ExchangeHub({ ...options, ...unused, membership, leavingTargets: new LeavingTargets(), store, clock }, this.owner.signal)
  }
}
