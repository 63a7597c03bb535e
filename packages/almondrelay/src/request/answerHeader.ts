/** One header line of a request or an answer. */
export interface AnswerHeader {
  name: string
  value: string
}
