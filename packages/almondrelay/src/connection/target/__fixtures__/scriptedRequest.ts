/** A request as a scripted target received it. */
export class ScriptedRequest {
  private constructor (
    readonly method: string,
    readonly path: string,
    /** Headers by lower-case name; each value in the order in which it came. */
    readonly headers: ReadonlyMap<string, string[]>,
    /** Number of the connection, from 1. */
    readonly connection: number,
    /** Number of the request on its connection, from 1. */
    readonly position: number
  ) {}

  static parse (text: string, connection: number, position: number): ScriptedRequest {
    const [requestLine = '', ...lines] = text.slice(0, text.indexOf('\r\n\r\n')).split('\r\n')
    const [method = '', path = ''] = requestLine.split(' ')
    const headers = new Map<string, string[]>()
    for (const line of lines) {
      const colon = line.indexOf(':')
      const name = line.slice(0, colon).toLowerCase()
      headers.set(name, [...headers.get(name) ?? [], line.slice(colon + 1).trim()])
    }
    return new ScriptedRequest(method, path, headers, connection, position)
  }
}
