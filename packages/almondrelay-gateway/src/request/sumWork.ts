import type { ClassWork } from './classWork.js'
import type { WorkSums } from './workSums.js'

/** Adds up the work that callers ask of one service at several hosts or zones. */
export function sumWork (parts: readonly WorkSums[]): WorkSums {
  const organisations = new Map<number, ClassWork>()
  const routes = new Map<number, ClassWork>()
  let [sentMs, requestsPerSecond, turnedAwayPerSecond] = [0, 0, 0]
  for (const part of parts) {
    addClasses(organisations, part.organisations)
    addClasses(routes, part.routes)
    sentMs += part.sentMs
    requestsPerSecond += part.requestsPerSecond
    turnedAwayPerSecond += part.turnedAwayPerSecond
  }
  return { organisations, routes, sentMs, requestsPerSecond, turnedAwayPerSecond }
}

const addClasses = (sums: Map<number, ClassWork>, added: ReadonlyMap<number, ClassWork>): void => {
  for (const [hash, { priority, askedMs, admittedMs }] of added) {
    const known = sums.get(hash)
    sums.set(hash, { priority, askedMs: (known?.askedMs ?? 0) + askedMs, admittedMs: (known?.admittedMs ?? 0) + admittedMs })
  }
}
