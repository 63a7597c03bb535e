import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { serve, type HttpBindings } from '@hono/node-server'
import { Hono } from 'hono'

interface StoredResource {
  kind: string
  name: string
  revision: number
  spec: unknown
  status?: Record<string, unknown>
}

/** Stand-in for the operator API of a host. Keeps resources in memory and can be set to simulate failures. */
export class FakeOperatorApi {
  revision = 0
  readonly resources = new Map<string, StoredResource>()
  readonly writes = new Map<string, number>()
  /** Keys of the stored writes, in the order in which they were stored. */
  readonly stored: string[] = []
  /** Stores the next write, but closes the connection without an answer. */
  dropNextAnswer = false
  /** Stores another operator's write before the next one, which is then refused as a conflict. */
  conflictNextWrite = false
  /** Answers every write with `unknown`, and stores nothing. */
  isPlatformDown = false
  /** Closes the connection of the next write without storing the write. */
  dropNextWrite = false
  isReady = true
  /** Problems for which the next write is rejected. */
  problems: Array<{ path: string, found: string, remedy: string }> = []
  /** Revision in force in the second availability zone; the newest one if undefined. */
  secondZoneRevision: number | undefined
  unreachable: string[] = []
  /** Requests that were running when targets exited. */
  suspects: Array<{ fingerprint: string, organisation: string, ends: number, isQuarantined: boolean, trials: number, nextTrialMs?: number }> = []
  pages: unknown = { pages: [] }
  address = ''
  private closeServer: () => Promise<void> = async () => {}

  static async start (): Promise<FakeOperatorApi> {
    const fake = new FakeOperatorApi()
    await fake.listen()
    return fake
  }

  async stop (): Promise<void> {
    await this.closeServer()
  }

  private async listen (): Promise<void> {
    const app = this.buildApp()
    const server = await new Promise<ReturnType<typeof serve>>((resolve) => {
      const started = serve({ fetch: app.fetch, hostname: '127.0.0.1', port: 0 }, () => resolve(started))
    })
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    this.closeServer = () => new Promise((resolve) => {
      server.close(() => resolve())
      if ('closeAllConnections' in server) server.closeAllConnections()
    })
  }

  private buildApp (): Hono<{ Bindings: HttpBindings }> {
    const app = new Hono<{ Bindings: HttpBindings }>()
    app.get('/v1/resources/:kind', (c) => c.json({ revision: this.revision, resources: [...this.resources.values()].filter((each) => each.kind === c.req.param('kind')) }))
    app.get('/v1/resources/:kind/:name', (c) => {
      const found = this.resources.get(`${c.req.param('kind')}/${c.req.param('name')}`)
      return found === undefined ? c.json({ message: 'absent' }, 404) : c.json(found)
    })
    app.put('/v1/resources/:kind/:name', async (c) => this.handleWrite(c.req.raw, c.env.outgoing, c.req.param('kind'), c.req.param('name'), await c.req.json()))
    app.delete('/v1/resources/:kind/:name', (c) => this.handleWrite(c.req.raw, c.env.outgoing, c.req.param('kind'), c.req.param('name'), undefined))
    app.get('/v1/writes/:id', (c) => {
      if (this.isPlatformDown) return c.json({ outcome: 'unknown' })
      const revision = this.writes.get(c.req.param('id'))
      return c.json(revision === undefined ? { outcome: 'absent' } : { outcome: 'accepted', revision })
    })
    app.get('/v1/status', (c) => c.json(this.buildStatus()))
    app.get('/v1/quarantine', (c) => c.json({ requests: this.suspects }))
    app.delete('/v1/quarantine/:fingerprint', (c) => {
      const remaining = this.suspects.filter(({ fingerprint }) => fingerprint !== c.req.param('fingerprint'))
      const isKnown = remaining.length < this.suspects.length
      this.suspects = remaining
      return isKnown ? c.json({ outcome: 'released' }) : c.json({ outcome: 'missing', message: 'not known' }, 404)
    })
    app.get('/v1/account', (c) => c.json(this.pages as object))
    app.get('/v1/lookup', (c) => c.json({ revision: this.revision, ttlMs: 2000, hosts: [{ name: 'akl-a-1', incarnation: 1, address: '127.0.0.1:8080', region: 'akl', availabilityZone: 'akl-a', weight: 1 }] }))
    return app
  }

  private handleWrite (request: Request, outgoing: HttpBindings['outgoing'], kind: string, name: string, spec: unknown): Response {
    const writeId = request.headers.get('almondrelay-write-id') ?? ''
    const storedRevision = this.writes.get(writeId)
    if (storedRevision !== undefined) return Response.json({ outcome: 'accepted', revision: storedRevision, writeId })
    if (!this.isReady) return Response.json({ outcome: 'not-ready', message: 'no configuration yet' }, { status: 503 })
    if (this.isPlatformDown) return Response.json({ outcome: 'unknown', writeId }, { status: 503 })
    if (this.dropNextWrite) {
      this.dropNextWrite = false
      ;(outgoing as ServerResponse<IncomingMessage>).socket?.destroy()
      return Response.json({})
    }
    if (this.problems.length > 0) return Response.json({ outcome: 'rejected', problems: this.problems.splice(0) }, { status: 400 })
    if (this.conflictNextWrite) this.storeConcurrentWrite(kind, name)
    const key = `${kind}/${name}`
    const current = this.resources.get(key)
    const expectedCondition = current === undefined ? '*' : `"${current.revision}"`
    const condition = request.headers.get('if-match') ?? request.headers.get('if-none-match')
    if (condition !== expectedCondition) return Response.json({ outcome: 'conflict', revision: current?.revision ?? 0 }, { status: 412 })
    this.revision += 1
    if (spec === undefined) this.resources.delete(key)
    else this.resources.set(key, { kind, name, revision: this.revision, spec })
    this.writes.set(writeId, this.revision)
    this.stored.push(key)
    if (this.dropNextAnswer) {
      this.dropNextAnswer = false
      ;(outgoing as ServerResponse<IncomingMessage>).socket?.destroy()
    }
    return Response.json({ outcome: 'accepted', revision: this.revision, writeId })
  }

  private storeConcurrentWrite (kind: string, name: string): void {
    this.conflictNextWrite = false
    this.revision += 1
    this.resources.set(`${kind}/${name}`, { kind, name, revision: this.revision, spec: { by: 'a colleague' } })
  }

  private buildStatus (): unknown {
    const laggingRevision = this.secondZoneRevision ?? this.revision
    const makeHost = (host: string, availabilityZone: string, region: string, revision: number) => ({ host, availabilityZone, region, revision, state: 'live', incarnation: 1, callerAddress: this.address, peerAddress: '', heardAgeMs: 0 })
    const hosts = [makeHost('akl-a-1', 'akl-a', 'akl', this.revision), makeHost('wlg-a-1', 'wlg-a', 'wlg', laggingRevision)]
    return {
      host: hosts[0],
      isReady: this.isReady,
      revision: this.revision,
      availabilityZones: hosts.map(({ host, availabilityZone, region, revision }) => ({ availabilityZone, region, revision, reachableHosts: 1, laggingHosts: revision < this.revision ? [{ host, revision }] : [], unreachableHosts: [], knownAgeMs: 0 })),
      laggingHosts: laggingRevision < this.revision ? [{ host: 'wlg-a-1', revision: laggingRevision }] : [],
      unreachableHosts: this.unreachable,
      hosts,
      drains: [{ name: 'maintenance', revision: 1, spec: {}, status: { isInForce: true, workLeft: 3, message: 'held back by shift cap akl-to-wlg' } }],
      caps: [{ name: 'akl-to-wlg', revision: 1, spec: {}, status: { isInForce: true, carried: 4, limit: 10 } }]
    }
  }
}
