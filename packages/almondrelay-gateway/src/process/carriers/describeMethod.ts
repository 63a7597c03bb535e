import type { DescMethod } from '@bufbuild/protobuf'

/** Returns the HTTP path of a method in the Connect protocol. */
export function describeMethod ({ parent, name }: DescMethod): string {
  return `/${parent.typeName}/${name}`
}
