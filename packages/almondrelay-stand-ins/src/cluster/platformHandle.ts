import type { PlatformHost } from 'almondrelay'
import { sendJson } from '../network/sendJson.js'
import type { PlatformFaults } from '../platform/platformFaults.js'
import { ChildProgram } from './childProgram.js'
import { requireOk } from './requireOk.js'
import { resolveProgram } from './resolveProgram.js'

/** The platform stand-in of a cluster. */
export class PlatformHandle {
  private constructor (readonly program: ChildProgram, readonly address: string) {}

  static async start (signal: AbortSignal): Promise<PlatformHandle> {
    const program = ChildProgram.start({ name: 'platform', args: [resolveProgram('platform')], signal })
    const line = await program.waitForLine((each) => each.startsWith('{"listening"'))
    return new PlatformHandle(program, (JSON.parse(line) as { listening: string }).listening)
  }

  /** Replaces all fault switches. */
  async setFaults (faults: Partial<PlatformFaults>): Promise<void> {
    requireOk('PUT faults', await sendJson({ method: 'PUT', address: this.address, path: '/control/faults', body: faults }))
  }

  async putHosts (hosts: PlatformHost[]): Promise<void> {
    requireOk('PUT hosts', await sendJson({ method: 'PUT', address: this.address, path: '/control/hosts', body: hosts }))
  }

  /** Calls by kind since the start. */
  async readCounts (): Promise<Record<string, number>> {
    const reply = await sendJson({ method: 'GET', address: this.address, path: '/control/counts' })
    return reply.body as Record<string, number>
  }

  /** A key's value as the platform holds it now; undefined where it is absent. */
  async readValue (key: string): Promise<string | undefined> {
    const reply = await sendJson({ method: 'GET', address: this.address, path: `/v1/kv/${encodeURIComponent(key)}` })
    return reply.status === 404 ? undefined : (reply.body as { value: string }).value
  }
}
