import { findHeadFault } from '../../request/findHeadFault.js'

const HEAD_END = '\r\n\r\n'
const INTERIM_HEAD = /^HTTP\/\S* 1\d\d/
/** Bytes of a head beyond which it isn't checked any further; undici accepts less. */
const MAX_HEAD_BYTES = 64 * 1024

/**
 * Checks the heads of answers as they were received, one answer at a time.
 *
 * undici's parser takes any protocol version and any three digits as a status, and drops the reason phrase's control characters from sight.
 * Such a head was damaged, so that its status or length may be wrong too.
 */
export class AnswerHeadChecker {
  private text = ''
  private isInHead = false
  private found: string | undefined

  /** What is wrong with the head of the awaited answer, once undici has reported it; undefined if nothing is. */
  get fault (): string | undefined {
    return this.found ?? (this.isInHead ? 'its head has no end' : undefined)
  }

  /** Begins to wait for the answer to a request that is about to be sent. */
  begin (): void {
    this.text = ''
    this.found = undefined
    this.isInHead = true
  }

  /** Takes in bytes before undici reads them. */
  receive (bytes: Buffer): void {
    if (!this.isInHead || this.text.length > MAX_HEAD_BYTES) return
    this.text += bytes.toString('latin1')
    for (let end = this.text.indexOf(HEAD_END); this.isInHead && end >= 0; end = this.text.indexOf(HEAD_END)) {
      const head = this.text.slice(0, end)
      this.text = this.text.slice(end + HEAD_END.length)
      this.found ??= findHeadFault(head)
      if (!INTERIM_HEAD.test(head)) this.isInHead = false
    }
  }
}
