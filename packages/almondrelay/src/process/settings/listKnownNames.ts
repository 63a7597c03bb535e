import { z } from 'zod'

/** Lists the property names that a schema defines at a path; empty when the schema accepts any name or is not an object. */
export function listKnownNames (schema: z.core.$ZodType, path: readonly PropertyKey[]): string[] {
  let current = unwrapSchema(schema)
  for (const part of path) {
    const next = findChildSchema(current, part)
    if (next === undefined) return []
    current = unwrapSchema(next)
  }
  return current instanceof z.ZodObject ? Object.keys(current.shape) : []
}

const findChildSchema = (schema: z.core.$ZodType, part: PropertyKey): z.core.$ZodType | undefined => {
  if (schema instanceof z.ZodObject) return schema.shape[String(part)]
  if (schema instanceof z.ZodArray) return schema.element
  return undefined
}

const unwrapSchema = (schema: z.core.$ZodType): z.core.$ZodType => {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodPrefault) return unwrapSchema(schema.unwrap())
  return schema
}
