import type { TargetChoice } from '../../request/choice/targetChoice.js'
import { TargetChooser } from '../../request/choice/targetChooser.js'
import type { TargetReport } from '../../request/choice/targetReport.js'
import type { TargetResult } from '../../request/choice/targetResult.js'
import type { Random } from '../../request/random.js'
import type { TargetSpec } from '../../version/resources/targetSpec.js'
import type { CallRecorder } from './callRecorder.js'

/** Target chooser that logs its calls, so that they can be replayed. */
export class RecordedTargetChooser extends TargetChooser {
  constructor (private readonly recorder: CallRecorder) {
    super()
    recorder.run({ call: 'create', requestId: '', given: [] }, () => undefined)
  }

  override adoptTargets (targets: readonly TargetSpec[], now: number): void {
    this.recorder.run({ call: 'adoptTargets', requestId: '', given: [targets, now] }, () => super.adoptTargets(targets, now))
  }

  /** Uses the recorder's random source, since only the numbers drawn from it are recorded. */
  override choose (free: ReadonlyMap<string, number>, exclude: ReadonlySet<string>, now: number, _random: Random): TargetChoice | undefined {
    return this.recorder.run({ call: 'choose', requestId: '', given: [free, exclude, now] }, () => super.choose(free, exclude, now, this.recorder.random))
  }

  /** Recorded because the call may change the state of a target that sends no answers. */
  override allow (target: string, now: number): boolean {
    return this.recorder.run({ call: 'allow', requestId: '', given: [target, now] }, () => super.allow(target, now))
  }

  override start (target: string, now: number, expectedMs?: number): void {
    this.recorder.run({ call: 'start', requestId: '', given: [target, now, expectedMs] }, () => super.start(target, now, expectedMs))
  }

  override finish (target: string, result: TargetResult, now: number): void {
    this.recorder.run({ call: 'finish', requestId: '', given: [target, result, now] }, () => super.finish(target, result, now))
  }

  override report (target: string, report: TargetReport, now: number): void {
    this.recorder.run({ call: 'report', requestId: '', given: [target, report, now] }, () => super.report(target, report, now))
  }

  override markLeaving (target: string, leaving: boolean, now: number): void {
    this.recorder.run({ call: 'markLeaving', requestId: '', given: [target, leaving, now] }, () => super.markLeaving(target, leaving, now))
  }
}
