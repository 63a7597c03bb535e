import type { AdmissionOptions } from './admissionOptions.js'

/**
 * Defaults of the admission queue.
 *
 * `maxWaitMs`: after a burst the backlog drains at the capacity that the usual load leaves
 * free. At 70% load that is 0.3 of capacity, so a backlog of 500 ms drains in about 1.7 s,
 * within the 2 s in which latency has to return to normal.
 * `maxQueued`: default of the setting `requests.maxQueued`; each waiting request holds its body in memory.
 * `initialCostMs`: estimate for the first requests only; the first answer replaces it.
 */
export const admissionDefaults: AdmissionOptions = {
  maxQueued: 256,
  maxWaitMs: 500,
  initialCostMs: 20
}
