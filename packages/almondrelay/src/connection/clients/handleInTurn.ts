import type { RequestListener } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Makes a listener that handles the requests of one connection one after the other: the next once the answer before it has been sent. A
 * client that reads no answers then holds one of them.
 */
export function handleInTurn (handleRequest: RequestListener): RequestListener {
  const waiting = new WeakMap<Socket, Array<() => void>>()
  return (message, response) => {
    const { socket } = message
    const handle = (): void => {
      response.once('close', () => {
        const next = waiting.get(socket)?.shift()
        if (next === undefined) waiting.delete(socket)
        else next()
      })
      handleRequest(message, response)
    }
    const others = waiting.get(socket)
    if (others !== undefined) {
      others.push(handle)
      return
    }
    waiting.set(socket, [])
    handle()
  }
}
