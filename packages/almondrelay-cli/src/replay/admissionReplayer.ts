import { match } from 'ts-pattern'
import { AdmissionQueue, type AdmissionOptions, type QueuedRequest, type RecordedCall } from 'almondrelay'
import { Replayer } from './replayer.js'
import type { ReplayRandom } from './replayRandom.js'
import { UNKNOWN_STATE } from './unknownState.js'

/** Replays the decisions of admission queues. */
export class AdmissionReplayer extends Replayer {
  private readonly queues = new Map<string, AdmissionQueue>()

  constructor (private readonly random: ReplayRandom) {
    super()
  }

  override replay (call: RecordedCall): unknown {
    if (call.call === 'create') {
      this.queues.set(call.instance, new AdmissionQueue(call.given[0] as Partial<AdmissionOptions>, this.random.draw))
      return undefined
    }
    const queue = this.queues.get(call.instance)
    return queue === undefined ? UNKNOWN_STATE : replayCall(queue, call)
  }
}

const replayCall = (queue: AdmissionQueue, { call, given }: RecordedCall): unknown => match(call)
  .with('offer', () => queue.offer(given[0] as QueuedRequest, given[1] as number, given[2] as number, given[3] as number))
  .with('take', () => queue.take(given[0] as number, given[1] as number, given[2] as number))
  .with('cancel', () => queue.cancel(given[0] as string, given[1] as number))
  .with('finish', () => queue.finish(given[0] as QueuedRequest, given[1] as number | null ?? undefined, given[2] as number))
  .otherwise(() => UNKNOWN_STATE)
