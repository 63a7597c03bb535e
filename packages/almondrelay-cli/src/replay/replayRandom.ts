import type { Random } from 'almondrelay'

/** A random source that returns recorded draws. */
export class ReplayRandom {
  readonly draw: Random = () => this.takeDraw()
  private draws: readonly number[] = []
  private position = 0

  load (draws: readonly number[]): void {
    this.draws = draws
    this.position = 0
  }

  /** Returns the number of recorded draws that were not used. */
  countUnused (): number {
    return this.draws.length - this.position
  }

  private takeDraw (): number {
    const drawn = this.draws[this.position]
    this.position += 1
    if (drawn === undefined) throw new RangeError('the module draws more random numbers than were recorded')
    return drawn
  }
}
