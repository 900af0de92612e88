/**
 * Decodes the operator's configuration from its record in the store.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { createError, describeCause } from '../errors.ts'
import type { AppError } from '../errors.ts'
import { toBrand } from '../types.ts'
import type { ServiceId } from '../types.ts'
import type { Configuration, ConfigurationVersion, Route, ServiceConfiguration } from '../version/configuration.ts'
import { parseDurationMs } from './durations.ts'

const duration = z.string().transform((text, context) => {
  const parsed = parseDurationMs(text)
  if (parsed !== undefined) return parsed
  context.addIssue({ code: 'custom', message: `"${text}" is not a duration; write it as 1500ms or 2.5s` })
  return z.NEVER
})
const tableSchema = z.object({ columns: z.array(z.string()), rows: z.array(z.array(z.unknown())) })
const serviceName = z.string().min(1).transform((name) => toBrand<ServiceId>(name))

const routeSchema = z.object({
  name: z.string(),
  host: z.string().min(1),
  pathPrefix: z.string().startsWith('/').endsWith('/'),
  kind: z.enum(['safe', 'unsafe', 'download']),
  timeout: duration,
  targetLatency: duration,
  priority: z.number().default(0),
  maxAttempts: z.number().int().min(1).default(1),
  service: serviceName.optional(),
  split: z.array(z.object({ service: serviceName, weight: z.number().nonnegative() })).min(1).optional()
}).refine((route) => route.service !== undefined || route.split !== undefined, 'a route needs a service or a split')

const serviceSchema = z.object({ name: serviceName, healthPath: z.string().startsWith('/'), maxConnections: z.number().int().positive() })

const configurationSchema = z.object({
  version: z.number().int().nonnegative(),
  routes: tableSchema,
  services: tableSchema,
  limits: z.object({ maxHeaderBytes: z.number().positive(), maxBodyBytes: z.number().nonnegative(), headerTimeout: duration, idleTimeout: duration })
})

/** Converts a table to one object per row. A null cell means that the field is absent. */
function toObjects ({ columns, rows }: z.infer<typeof tableSchema>): Record<string, unknown>[] {
  return rows.map((row) => {
    const pairs = columns.map((column, index) => [column, row[index]] as const)
    return Object.fromEntries(pairs.filter(([, value]) => value !== null && value !== undefined))
  })
}

function toRoute (fields: unknown): Route {
  const route = routeSchema.parse(fields)
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
    services: route.split ?? single
  }
}

function toService (fields: unknown): ServiceConfiguration {
  const { name, healthPath, maxConnections } = serviceSchema.parse(fields)
  return { name, healthPath, maxConnections }
}

/** Decodes a configuration. One invalid row makes the whole record invalid. Errors: `record-malformed`. */
export function decodeConfiguration (bytes: Uint8Array): Result<Configuration, AppError> {
  try {
    const parsed = configurationSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')))
    const services = toObjects(parsed.services).map(toService)
    return ok({
      version: toBrand<ConfigurationVersion>(parsed.version),
      routes: toObjects(parsed.routes).map(toRoute),
      services: new Map(services.map((service) => [service.name, service])),
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
