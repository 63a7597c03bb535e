/** Requests as they really run on a target, whatever any host believes. */
export class TargetWork {
  private ends: number[] = []

  begin (endsAt: number): void {
    this.ends.push(endsAt)
  }

  count (real: number): number {
    this.ends = this.ends.filter((end) => end > real)
    return this.ends.length
  }
}
