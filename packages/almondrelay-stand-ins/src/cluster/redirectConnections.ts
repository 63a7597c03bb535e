// Loaded into a daemon with --import, before its own code. Entry hosts tell one another their
// addresses, so settings alone can't lead their connections through relays: connections to an
// address of the list go to its relay in place of it, as a network with faults between would have it.
import { Socket } from 'node:net'

interface ConnectOptions {
  host?: string
  port?: number | string
}

type Connect = (this: Socket, ...args: unknown[]) => Socket

const relays = JSON.parse(process.env['ALMONDRELAY_TEST_RELAYS'] ?? '{}') as Record<string, string>
const connect = Socket.prototype.connect as unknown as Connect

function connectThroughRelay (this: Socket, ...args: unknown[]): Socket {
  const options = (Array.isArray(args[0]) ? args[0][0] : args[0]) as ConnectOptions | undefined
  const relay = relays[`${String(options?.host)}:${String(options?.port)}`]
  if (relay !== undefined && options !== undefined) {
    const colon = relay.lastIndexOf(':')
    options.host = relay.slice(0, colon)
    options.port = Number(relay.slice(colon + 1))
  }
  return connect.apply(this, args)
}

Socket.prototype.connect = connectThroughRelay as unknown as typeof Socket.prototype.connect
