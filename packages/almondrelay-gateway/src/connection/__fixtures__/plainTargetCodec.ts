import type { TargetAnswerHead } from '../../request/targetAnswerHead.js'
import type { TargetRequest } from '../../request/targetRequest.js'
import { TargetCodec } from '../targetCodec.js'

/** Target codec with simple headers for tests. */
export class PlainTargetCodec extends TargetCodec {
  override listForwardedHeaders (request: TargetRequest): string[] {
    return [...request.rawHeaders]
  }

  override encodeHead (request: TargetRequest, targetId: string, leftMs: number): string {
    return `${request.method} ${request.url} HTTP/1.1\r\nid: ${request.id}\r\ntarget: ${targetId}\r\nleft: ${leftMs}\r\ncontent-length: ${request.body.length}\r\n\r\n`
  }

  override decodeAnswerHead (status: number, rawHeaders: readonly string[], shouldKeepAlive: boolean): TargetAnswerHead {
    const find = (name: string): string | undefined => rawHeaders[rawHeaders.indexOf(name) + 1]
    const has = (name: string): boolean => rawHeaders.includes(name)
    return {
      status,
      rawHeaders,
      requestId: rawHeaders.filter((name, index) => index % 2 === 0 && name === 'id').length === 1 ? find('id') : undefined,
      isNotRun: has('not-run'),
      refusesUnread: status === 400 && has('not-run') && !has('id'),
      isMisdirected: status === 421,
      isGenuine: has('signed'),
      keepAliveMs: has('keep') ? Number(find('keep')) : undefined,
      closesConnection: !shouldKeepAlive,
      load: undefined,
      coldForMs: undefined,
      requestLimit: has('limit') ? Number(find('limit')) : Infinity,
      isLeaving: has('leaving'),
      pauseMs: has('pause') ? Number(find('pause')) : 0
    }
  }
}
