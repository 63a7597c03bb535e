/** Whether a number is the status of a final answer (RFC 9110, section 15). Parsers take any three digits for one. */
export function isFinalStatus (status: number): boolean {
  return status >= 200 && status <= 599
}
