import type { AdmissionOptions } from './admissionOptions.js'

/**
 * Defaults of the admission queue.
 *
 * `maxWaitMs`: after a burst the backlog drains at the capacity that the usual load leaves
 * free. At 70% load that is 0.3 of capacity, so 500 ms of backlog are gone after about
 * 1.7 s, inside the 2 s in which latency has to be back to normal.
 * `maxQueued`: the setting `requests.maxQueued`; a waiting request costs its body's memory.
 * `initialCostMs`: a guess for the first requests alone; the first answer replaces it.
 */
export const admissionDefaults: AdmissionOptions = {
  maxQueued: 256,
  maxWaitMs: 500,
  initialCostMs: 20
}
