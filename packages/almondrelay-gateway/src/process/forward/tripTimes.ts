/** Milliseconds there and back within a region, and to another one, before any was measured. */
const FIRST_NEAR_MS = 2
const FIRST_FAR_MS = 60
/** Weight of a longer trip than known; a shorter one counts at once, as only waiting makes a trip longer. */
const LONGER_GAIN = 0.05

/** Milliseconds there and back to the targets of each region, from the time that new connections take. */
export class TripTimes {
  private readonly measured = new Map<string, number>()

  constructor (private readonly ownRegion: string) {}

  find (region: string): number {
    return this.measured.get(region) ?? (region === this.ownRegion ? FIRST_NEAR_MS : FIRST_FAR_MS)
  }

  learn (region: string, durationMs: number): void {
    const known = this.measured.get(region)
    if (known === undefined || durationMs < known) this.measured.set(region, durationMs)
    else this.measured.set(region, known + (durationMs - known) * LONGER_GAIN)
  }
}
