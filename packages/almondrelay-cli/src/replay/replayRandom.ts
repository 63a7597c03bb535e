import type { Random } from 'almondrelay'

/** A source of chance that gives recorded draws again. */
export class ReplayRandom {
  readonly draw: Random = () => this.takeDraw()
  private draws: readonly number[] = []
  private position = 0

  load (draws: readonly number[]): void {
    this.draws = draws
    this.position = 0
  }

  /** Draws that were recorded and not asked for. */
  countLeft (): number {
    return this.draws.length - this.position
  }

  private takeDraw (): number {
    const drawn = this.draws[this.position]
    this.position += 1
    if (drawn === undefined) throw new RangeError('the module draws more chance than it did when it was recorded')
    return drawn
  }
}
