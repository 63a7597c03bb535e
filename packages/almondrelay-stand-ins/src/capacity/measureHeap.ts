/** Bytes that what an action makes takes on the heap and in buffers; needs node --expose-gc. */
export function measureHeap<Made> (make: () => Made): { made: Made, bytes: number } {
  const before = readBytes()
  const made = make()
  return { made, bytes: readBytes() - before }
}

const readBytes = (): number => {
  (globalThis as { gc?: () => void }).gc?.()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}
