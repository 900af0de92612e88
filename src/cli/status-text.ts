/**
 * Formats the state of an entry as text.
 */
import { z } from 'zod'

const statusSchema = z.object({
  entry: z.object({ id: z.string(), zone: z.string(), address: z.string() }),
  incarnation: z.string(),
  contracts: z.array(z.object({ customer: z.string(), accepted: z.number(), inForce: z.number(), effectiveAt: z.string(), operator: z.string() })),
  peers: z.array(z.object({ id: z.string(), zone: z.string(), address: z.string(), state: z.string(), isSelf: z.boolean() })),
  services: z.array(z.object({
    customer: z.string(),
    service: z.string(),
    connections: z.number(),
    targets: z.array(z.object({ id: z.string(), zone: z.string(), state: z.string(), inFlight: z.number() })),
    budgets: z.object({ waiting: z.number(), hedges: z.number(), retries: z.number(), probes: z.number(), probeCostMs: z.number() })
  })),
  callers: z.object({ connections: z.number(), inProgress: z.number() })
})

type EntryStatus = z.infer<typeof statusSchema>
type ServiceStatus = EntryStatus['services'][number]

function formatService ({ customer, service, connections, targets, budgets }: ServiceStatus): string[] {
  const { waiting, hedges, retries, probes, probeCostMs } = budgets
  const rows = targets.map((target) => `    ${target.id}  ${target.zone}  ${target.state}  ${target.inFlight} in flight`)
  return [
    `  ${customer}/${service}: ${connections} connections, ${waiting} waiting, spent: ${hedges} hedges, ${retries} retries, ${probes} probes (${probeCostMs.toFixed(0)} ms)`,
    ...rows
  ]
}

/** Formats the response to `GET /status`; returns it as indented JSON when it does not have the expected fields. */
export function formatStatus (value: unknown): string {
  const parsed = statusSchema.safeParse(value)
  if (!parsed.success) return JSON.stringify(value, undefined, 2)
  const { entry, incarnation, contracts, peers, services, callers } = parsed.data
  return [
    `Entry ${entry.id} in ${entry.zone} at ${entry.address}, incarnation ${incarnation}`,
    `Callers: ${callers.connections} connections, ${callers.inProgress} requests in progress`,
    'Contracts:',
    ...contracts.map((contract) => `  ${contract.customer}: version ${contract.inForce} in force, ${contract.accepted} accepted (from ${contract.effectiveAt}, by ${contract.operator})`),
    'Entries:',
    ...peers.map((peer) => `  ${peer.id}  ${peer.zone}  ${peer.address}  ${peer.state}${peer.isSelf ? '  this one' : ''}`),
    'Services:',
    ...services.flatMap(formatService)
  ].join('\n')
}
