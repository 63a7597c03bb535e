import { HeaderName, createId } from 'almondrelay'
import { build } from 'hdr-histogram-js'
import { Client } from 'undici'
import type { RateFigures } from './rateFigures.js'

interface RateMeasurement {
  address: string
  path: string
  method: 'GET' | 'POST'
  /** Each has one request in flight all the time. */
  connections: number
  durationMs: number
  /** Home of non-idempotent requests, as `host;incarnation`. */
  home: string | undefined
}

const MICROSECONDS = 1_000
const CALLERS = 16
const BODY = Buffer.from('{"days":3,"from":"2026-12-21"}')

/** Keeps connections busy for a time. */
export async function measureRate (measurement: RateMeasurement): Promise<RateFigures> {
  const histogram = build({ numberOfSignificantValueDigits: 3 })
  const startedAt = performance.now()
  const until = startedAt + measurement.durationMs
  const failures: Record<string, number> = {}
  const runConnection = async (_: unknown, index: number): Promise<void> => {
    const client = new Client(`http://${measurement.address}`)
    while (performance.now() < until) {
      const sentAt = performance.now()
      const failure = await trySend(client, measurement, index)
      if (failure === undefined) histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * MICROSECONDS)))
      else failures[failure] = (failures[failure] ?? 0) + 1
    }
    await client.close()
  }
  await Promise.all(Array.from({ length: measurement.connections }, runConnection))
  return {
    answered: histogram.totalCount,
    failures,
    durationMs: performance.now() - startedAt,
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS
  }
}

/** Undefined where the request was answered with status 200, else what came instead. */
async function trySend (client: Client, { path, method, home }: RateMeasurement, index: number): Promise<string | undefined> {
  const headers: Record<string, string> = { [HeaderName.caller]: `caller-${index % CALLERS}` }
  if (method === 'POST') headers[HeaderName.id] = createId(Date.now())
  if (home !== undefined) headers[HeaderName.home] = home
  try {
    const answer = await client.request({ method, path, headers, body: method === 'POST' ? BODY : null })
    await answer.body.arrayBuffer()
    return answer.statusCode === 200 ? undefined : `${answer.statusCode} ${String(answer.headers[HeaderName.reason] ?? '')}`
  } catch (error) {
    return String((error as NodeJS.ErrnoException).code)
  }
}
