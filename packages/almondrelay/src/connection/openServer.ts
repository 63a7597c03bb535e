import type { Server } from 'node:net'
import { AlmondrelayError } from '../process/errors/almondrelayError.js'
import { ErrorKind } from '../process/errors/errorKind.js'
import { splitAddress } from './splitAddress.js'

/** Listens on an IP address and port; rejects with `settings-invalid` if the address can't be bound. */
export function openServer (server: Server, address: string): Promise<void> {
  const { host, port } = splitAddress(address)
  return new Promise((resolve, reject) => {
    const rejectListen = (error: Error): void => {
      reject(new AlmondrelayError({
        kind: ErrorKind.settingsInvalid,
        message: `can't listen on ${address} (${error.message})`,
        remedy: 'give an address of this host whose port is free',
        cause: error
      }))
    }
    server.once('error', rejectListen)
    server.listen(port, host, () => {
      server.off('error', rejectListen)
      resolve()
    })
  })
}
