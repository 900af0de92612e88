/**
 * Formats where a request would go as text.
 */
import { z } from 'zod'

const targetSchema = z.object({
  target: z.string(),
  zone: z.string(),
  inFlight: z.number(),
  load: z.string().optional(),
  loadAgeMs: z.number().optional(),
  expectedMs: z.number(),
  penalty: z.number()
})
const serviceSchema = z.object({
  service: z.string(),
  weight: z.number(),
  waiting: z.number(),
  outcome: z.string(),
  targets: z.array(targetSchema),
  leftOut: z.array(z.object({ target: z.string(), zone: z.string(), reasons: z.array(z.string()) }))
})
const whereSchema = z.object({
  entry: z.string(),
  version: z.number(),
  route: z.object({ name: z.string(), kind: z.string(), priority: z.number() }).optional(),
  customer: z.string().optional(),
  quota: z.object({ ratePerSecond: z.number(), burst: z.number() }).optional(),
  rejection: z.object({ status: z.number(), error: z.string(), message: z.string() }).optional(),
  services: z.array(serviceSchema)
})

type WhereReport = z.infer<typeof whereSchema>
type ServiceReport = WhereReport['services'][number]
type TargetReport = ServiceReport['targets'][number]

/** Targets that are printed of each service; the JSON form lists all. */
const MAX_PRINTED_TARGETS = 8

function formatTarget ({ target, zone, inFlight, load, loadAgeMs, expectedMs, penalty }: TargetReport, index: number): string {
  const described = load === undefined ? 'load not known' : `load ${load}, ${loadAgeMs?.toFixed(0)} ms old`
  return `    ${index + 1}. ${target} in ${zone}: ${inFlight} in flight from here, ${described}, expected ${expectedMs.toFixed(0)} ms, penalty ${penalty.toFixed(2)}`
}

function formatService ({ service, weight, waiting, outcome, targets, leftOut }: ServiceReport): string[] {
  const hiddenCount = targets.length - MAX_PRINTED_TARGETS
  return [
    `  ${service} (weight ${weight}), ${waiting} requests waiting: ${outcome}`,
    ...targets.slice(0, MAX_PRINTED_TARGETS).map(formatTarget),
    ...(hiddenCount > 0 ? [`    and ${hiddenCount} more`] : []),
    ...leftOut.map(({ target, zone, reasons }) => `    left out: ${target} in ${zone}: ${reasons.join(', ')}`)
  ]
}

function formatCustomer ({ customer, quota }: WhereReport): string {
  if (customer === undefined) return 'Customer: none'
  return `Customer: ${customer}, ${quota ? `quota of ${quota.ratePerSecond} requests a second and a burst of ${quota.burst}` : 'no quota'}`
}

/** Formats the response to `GET /where`; returns it as indented JSON when it does not have the expected fields. */
export function formatWhere (value: unknown): string {
  const parsed = whereSchema.safeParse(value)
  if (!parsed.success) return JSON.stringify(value, undefined, 2)
  const { entry, version, route, rejection, services } = parsed.data
  return [
    `At entry ${entry}, configuration ${version}`,
    route ? `Route: ${route.name} (${route.kind}), priority ${route.priority}` : 'Route: none',
    formatCustomer(parsed.data),
    ...(rejection ? [`Rejected: status ${rejection.status} for ${rejection.error}: ${rejection.message}`] : []),
    ...(services.length > 0 ? ['Services:', ...services.flatMap(formatService)] : [])
  ].join('\n')
}
