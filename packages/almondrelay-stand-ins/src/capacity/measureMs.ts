const ROUNDS = 5

/** Milliseconds that an action takes: the least of several rounds, since other work on the machine only adds. */
export function measureMs (action: () => void): number {
  let least = Infinity
  for (let round = 0; round < ROUNDS; round += 1) {
    const begunAt = performance.now()
    action()
    least = Math.min(least, performance.now() - begunAt)
  }
  return least
}
