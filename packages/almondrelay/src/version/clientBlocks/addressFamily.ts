/** IP address families. */
const AddressFamily = {
  v4: 4,
  v6: 6
} as const

type AddressFamily = (typeof AddressFamily)[keyof typeof AddressFamily]

export { AddressFamily }
