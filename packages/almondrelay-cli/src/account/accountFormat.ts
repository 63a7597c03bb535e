/** Output formats of an account. */
const AccountFormat = {
  table: 'table',
  json: 'json',
  csv: 'csv'
} as const

type AccountFormat = (typeof AccountFormat)[keyof typeof AccountFormat]

export { AccountFormat }
