import { createServer } from 'node:net'

const LANES = 85
const LANE_PORTS = 200
const FIRST_PORT = 15_000

let next = 0

/**
 * Free addresses on 127.0.0.1 for programs that need their ports before they start.
 *
 * Failure: a port that was got by listening on 0 and closed again is handed to the next one who
 * listens on 0, and the program then can't start. These ports lie below the range that the system
 * hands out (32768 and up), in a lane by process id, so that neither other listeners nor other test
 * processes get them in between; each is tried by listening.
 */
export async function findFreeAddresses (count: number): Promise<string[]> {
  const addresses: string[] = []
  const lane = FIRST_PORT + process.pid % LANES * LANE_PORTS
  for (let tries = 0; addresses.length < count && tries < LANE_PORTS; tries++) {
    const port = lane + next
    next = (next + 1) % LANE_PORTS
    if (await isFree(port)) addresses.push(`127.0.0.1:${port}`)
  }
  if (addresses.length < count) throw new Error(`too few free ports from ${lane}: end the programs that hold them`)
  return addresses
}

async function isFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => { resolve(false) })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}
