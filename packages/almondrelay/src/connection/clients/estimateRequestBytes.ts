/** Bytes of the objects that a request takes without its header lines: message, response, their listeners and what handles them. */
const REQUEST_BYTES = 10 * 1024
/** Bytes that a header line takes in addition to its text: two strings, and their places in the lists of headers. */
const LINE_BYTES = 250
/** Copies of the text that exist while a request is handled: as received, decoded, and encoded for a target or the log. */
const TEXT_COPIES = 3

/** Estimates the bytes that a request takes until it has been answered, without its body. */
export function estimateRequestBytes (headBytes: number, headerLines: number): number {
  return REQUEST_BYTES + headerLines * LINE_BYTES + headBytes * TEXT_COPIES
}
