import { InvalidArgumentError } from 'commander'

/** Parses an option that is a whole number from 0, such as a time in milliseconds. */
export function parseWholeNumber (text: string): number {
  if (!/^\d{1,12}$/.test(text)) throw new InvalidArgumentError('Write a whole number, such as 5000.')
  return Number(text)
}
