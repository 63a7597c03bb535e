import { match } from 'ts-pattern'
import type { RequestLine } from '../trace/requestLine.js'
import type { TraceLine } from '../trace/traceLine.js'
import { describeRequest } from './describeRequest.js'

type Fields = Record<string, unknown>

/** Describes one decision in plain words. */
export function describeDecision (line: TraceLine): string {
  const input = toFields(line.input)
  const output = toFields(line.output)
  return match(line.decision)
    .with('lookup', () => `look-up answered: ${formatFields(output)}`)
    .with('placement', () => output.kind === 'refuse' ? `nowhere to run it: ${describeRefusal(output)}` : `where to run it, best first: ${formatZones(output.zones)}`)
    .with('admission', () => describeAdmission(input, output))
    .with('choice', () => line.output === null ? 'no target may take work now' : `target ${String(output.target)} chosen (${String(output.reason)}); ${formatFields(filterFields(output, 'target', 'reason'))}`)
    .with('retry', () => output.kind === 'retry' ? `retried, because the attempt ended as ${String(input.outcome)}` : `not retried: ${String(output.reason)}`)
    .with('request', () => describeRequest(line.input as RequestLine))
    .with('answer', () => `answered: ${describeAnswer(output)}`)
    .otherwise(() => `${line.decision}: ${formatFields(input)} gave ${formatFields(output)}`)
}

const describeAdmission = (input: Fields, output: Fields): string => {
  const queueState = 'free' in input ? ` (${formatFields({ free: input.free, capacity: input.capacity, waiting: input.waiting })})` : ''
  return match(output.kind)
    .with('start', () => `admitted at once${queueState}`)
    .with('wait', () => `queued${queueState}`)
    .with('refuse', () => `refused: ${describeRefusal(output)}${queueState}`)
    .otherwise(() => `queue: ${formatFields(output)}`)
}

const describeRefusal = (output: Fields): string => `${String(output.reason)}, retry after ${String(output.retryAfterMs)} ms`

const describeAnswer = (output: Fields): string => {
  const target = output.target === '' || output.target === undefined ? '' : ` by target ${String(output.target)}`
  const reason = output.reason === '' || output.reason === undefined ? '' : `, because of ${String(output.reason)}`
  return `${String(output.outcome)}${target} with status ${String(output.status)}${reason}, after ${String(output.durationMs)} ms`
}

const formatZones = (zones: unknown): string => (Array.isArray(zones) ? zones : [])
  .map((zone) => toFields(zone))
  .map((zone) => `${String(zone.availabilityZone)} (${String(zone.reason)}${zone.needsCredit === true ? ', with a credit' : ''})`)
  .join(', ')

const formatFields = (fields: Fields): string => Object.entries(fields)
  .filter(([, value]) => value !== undefined)
  .map(([name, value]) => `${name} ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
  .join(', ')

const filterFields = (fields: Fields, ...names: string[]): Fields => Object.fromEntries(Object.entries(fields).filter(([name]) => !names.includes(name)))

const toFields = (value: unknown): Fields => typeof value === 'object' && value !== null ? value as Fields : {}
