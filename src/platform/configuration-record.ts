/**
 * Decodes the operator's configuration from its record in the store.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { toBrand } from '../types.ts'
import type { CustomerId, ServiceId } from '../types.ts'
import type { Configuration, ConfigurationVersion, Route, ServiceConfiguration } from '../version/configuration.ts'
import { computeKeyDigest, findSharedKey } from '../version/customer-keys.ts'
import type { CustomerTerms } from '../version/customer-keys.ts'
import { parseDurationMs } from './durations.ts'

const duration = z.string().transform((text, context) => {
  const parsed = parseDurationMs(text)
  if (parsed !== undefined) return parsed
  context.addIssue({ code: 'custom', message: 'this is not a duration; write it as 1500ms or 2.5s' })
  return z.NEVER
})
const tableSchema = z.object({ columns: z.array(z.string()), rows: z.array(z.array(z.unknown())) })
const serviceName = z.string().min(1).transform((name) => toBrand<ServiceId>(name))

const routeSchema = z.object({
  name: z.string(),
  host: z.string().min(1),
  pathPrefix: z.string().startsWith('/').endsWith('/'),
  kind: z.enum(['safe', 'unsafe', 'download', 'upload']),
  timeout: duration,
  targetLatency: duration,
  priority: z.number().default(0),
  maxAttempts: z.number().int().min(1).default(1),
  service: serviceName.optional(),
  split: z.array(z.object({ service: serviceName, weight: z.number().nonnegative() })).min(1).optional(),
  allowAnonymous: z.boolean().default(false)
}).refine((route) => route.service !== undefined || route.split !== undefined, 'a route needs a service or a split')

const serviceSchema = z.object({
  name: serviceName,
  healthPath: z.string().startsWith('/'),
  maxConnections: z.number().int().positive(),
  warmup: duration.optional(),
  // Like an empty cell, 0 means that cold targets need no protection.
  warmupPerS: z.number().nonnegative().optional()
})

/** Names that a header and a message between entries can hold. */
const CUSTOMER_NAME_PATTERN = /^[\x21-\x7e](?:[\x20-\x7e]{0,126}[\x21-\x7e])?$/

/** The customers, which the platform calls tenants. 0 requests per second, like an empty cell, means no limit. */
const customerSchema = z.object({
  name: z.string().regex(CUSTOMER_NAME_PATTERN, 'give a name of at most 128 printable ASCII characters').transform((name) => toBrand<CustomerId>(name)),
  apiKeys: z.array(z.string().min(1)).default([]),
  priority: z.number().optional(),
  ratePerS: z.number().nonnegative().default(0),
  burst: z.number().nonnegative().default(0)
})

const configurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: tableSchema,
  services: tableSchema,
  tenants: tableSchema.optional(),
  limits: z.object({ maxHeaderBytes: z.number().positive(), maxBodyBytes: z.number().nonnegative(), headerTimeout: duration, idleTimeout: duration })
})

/** Converts a table to one object per row. A null cell means that the field is absent. */
function toObjects ({ columns, rows }: z.infer<typeof tableSchema>): Record<string, unknown>[] {
  return rows.map((row) => {
    const pairs = columns.map((column, index) => [column, row[index]] as const)
    return Object.fromEntries(pairs.filter(([, value]) => value !== null && value !== undefined))
  })
}

/** Converts each row of a table. The error of an invalid cell names its row, from 1, and its column, and never the cell's content. */
function toRows<T> (name: string, table: z.infer<typeof tableSchema>, schema: z.ZodType<T>): T[] {
  return toObjects(table).map((fields, index) => {
    const parsed = schema.safeParse(fields)
    if (parsed.success) return parsed.data
    const faults = parsed.error.issues.map(({ path, message }) => `${path.join('.') || 'the row'}: ${message}`)
    throw new Error(`table ${name}, row ${index + 1}, ${faults.join('; ')}`)
  })
}

function toRoute (route: z.infer<typeof routeSchema>): Route {
  const single = route.service === undefined ? [] : [{ service: route.service, weight: 1 }]
  return {
    name: route.name,
    host: route.host,
    pathPrefix: route.pathPrefix,
    kind: route.kind,
    timeoutMs: route.timeout,
    targetLatencyMs: route.targetLatency,
    priority: route.priority,
    maxAttempts: route.maxAttempts,
    services: route.split ?? single,
    allowsAnonymous: route.allowAnonymous
  }
}

function toService ({ name, healthPath, maxConnections, warmup, warmupPerS }: z.infer<typeof serviceSchema>): ServiceConfiguration {
  const warmUp = warmup === undefined || !warmupPerS ? undefined : { durationMs: warmup, requestsPerSecond: warmupPerS }
  return { name, healthPath, maxConnections, warmUp }
}

function toCustomer ({ name, apiKeys, priority, ratePerS, burst }: z.infer<typeof customerSchema>): CustomerTerms {
  return { name, keys: apiKeys.map(computeKeyDigest), priority, quota: ratePerS > 0 ? { ratePerSecond: ratePerS, burst } : undefined }
}

/** Converts the customers. Fails when two of them hold the same key, since a request would belong to both. */
function toCustomers (table: z.infer<typeof tableSchema>): CustomerTerms[] {
  const customers = toRows('tenants', table, customerSchema).map(toCustomer)
  const holders = findSharedKey(customers)
  if (holders) throw new Error(`table tenants: ${holders.join(' and ')} hold the same key; give each customer keys of its own`)
  return customers
}

/** Parses the text of a record. The error of the parser quotes the text, which may hold keys, so it is not passed on. */
function parseText (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch {
    throw new Error('the record is not JSON; write the whole document again')
  }
}

/** Decodes a configuration. One invalid row makes the whole record invalid. Errors: `record-malformed`. */
export function decodeConfiguration (bytes: Uint8Array): Result<Configuration, AppError> {
  try {
    const parsed = configurationSchema.parse(parseText(bytes))
    const services = toRows('services', parsed.services, serviceSchema).map(toService)
    return ok({
      version: toBrand<ConfigurationVersion>(parsed.version),
      routes: toRows('routes', parsed.routes, routeSchema).map(toRoute),
      services: new Map(services.map((service) => [service.name, service])),
      customers: parsed.tenants && toCustomers(parsed.tenants),
      limits: {
        maxHeaderBytes: parsed.limits.maxHeaderBytes,
        maxBodyBytes: parsed.limits.maxBodyBytes,
        headerTimeoutMs: parsed.limits.headerTimeout,
        idleTimeoutMs: parsed.limits.idleTimeout
      }
    })
  } catch (cause) {
    return err(createError('record-malformed', `The configuration cannot be read: ${describeCause(cause)}`, cause))
  }
}
