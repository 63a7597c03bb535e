import type { AdmissionBatch } from '../../request/admission/admissionBatch.js'
import type { AdmissionDecision } from '../../request/admission/admissionDecision.js'
import type { AdmissionOptions } from '../../request/admission/admissionOptions.js'
import { AdmissionQueue } from '../../request/admission/admissionQueue.js'
import type { QueuedRequest } from '../../request/admission/queuedRequest.js'
import type { CallRecorder } from './callRecorder.js'

/** Admission queue that logs its calls, so that they can be replayed. */
export class RecordedAdmissionQueue extends AdmissionQueue {
  constructor (options: Partial<AdmissionOptions>, private readonly recorder: CallRecorder) {
    super(options, recorder.random)
    recorder.run({ call: 'create', requestId: '', given: [options] }, () => undefined)
  }

  override offer (request: QueuedRequest, freeSlots: number, capacity: number, now: number): AdmissionDecision {
    return this.recorder.run({ call: 'offer', requestId: request.id, given: [request, freeSlots, capacity, now] }, () => super.offer(request, freeSlots, capacity, now))
  }

  override take (freeSlots: number, capacity: number, now: number): AdmissionBatch {
    return this.recorder.run({ call: 'take', requestId: '', given: [freeSlots, capacity, now] }, () => super.take(freeSlots, capacity, now))
  }

  override cancel (id: string, now: number): boolean {
    return this.recorder.run({ call: 'cancel', requestId: id, given: [id, now] }, () => super.cancel(id, now))
  }

  override finish (request: QueuedRequest, serviceTimeMs: number | undefined, now: number): void {
    this.recorder.run({ call: 'finish', requestId: request.id, given: [request, serviceTimeMs, now] }, () => super.finish(request, serviceTimeMs, now))
  }
}
