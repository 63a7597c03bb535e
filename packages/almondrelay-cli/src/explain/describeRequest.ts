import type { RequestLine } from '../trace/requestLine.js'

/** Describes in plain words how a host handled one request: its placement, each attempt at a target, the answer. */
export function describeRequest (line: RequestLine): string {
  const version = line.version === undefined ? '' : ` of version ${line.version}`
  const route = line.route === undefined ? '' : `route ${line.route}${version}, `
  const placement = line.service === undefined || line.homeRegion === undefined ? '' : `service ${line.service}, key ${line.key ?? 'none'} with its place in ${line.homeRegion}; `
  const attempts = line.attempts.length === 0 ? 'no target asked' : line.attempts.map(describeAttempt).join('; ')
  const copy = line.withheldCopy === undefined ? '' : `; no copy sent (${line.withheldCopy})`
  const reason = line.reason === undefined ? '' : `, because of: ${line.reason}`
  const duration = line.ms === undefined ? '' : `, after ${line.ms} ms`
  const fingerprint = line.fingerprint === undefined ? '' : `, fingerprint ${line.fingerprint}`
  return `${route}${describeOrganisation(line)}${placement}${attempts}${copy}; answered ${line.outcome ?? line.status ?? 'refused'}${reason}${duration}${fingerprint}`
}

const PERCENT = 100

const describeOrganisation = ({ organisation, allowedPart, snapshotAgeMs }: RequestLine): string => {
  if (organisation === undefined) return ''
  const age = snapshotAgeMs === undefined ? '' : `, by counts of ${snapshotAgeMs} ms before`
  const share = allowedPart === undefined ? '' : ` (${Math.round(allowedPart * PERCENT)}% of its requests let through${age})`
  return `organisation ${organisation}${share}, `
}

const describeAttempt = (attempt: RequestLine['attempts'][number], index: number): string => {
  const limit = attempt.requestLimit === undefined ? '' : `, a limit of ${attempt.requestLimit} requests a second`
  const way = attempt.carrier === undefined ? '' : ` by way of ${attempt.carrier}`
  const stated = attempt.statedSlowness === undefined ? '' : `, work there ${attempt.statedSlowness} times as long by a statement ${attempt.statedAgeMs ?? '?'} ms old`
  const kind = attempt.isCopy === true ? 'copy' : 'attempt'
  return `${kind} ${index + 1} at ${attempt.target} in ${attempt.region}${way} (rank ${attempt.rank} of the key, ${attempt.outstanding} requests there, answer expected after ${attempt.expectedMs} ms${limit}${stated}): ${attempt.result} after ${attempt.ms} ms`
}
