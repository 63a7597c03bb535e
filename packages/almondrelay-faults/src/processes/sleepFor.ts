/** Waits in real time. */
export function sleepFor (ms: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, ms) })
}
