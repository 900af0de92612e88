/**
 * The schema and types of a customer's contract, which defines all limits that the system enforces for the customer.
 */
import { z } from 'zod'
import type { ContractVersion, CustomerId, ServiceId, TargetId, ZoneId } from '../types.ts'
import { MAX_PORT } from '../unicast-address.ts'

const MAX_BODY_BYTES = 1_048_576
const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/

const idText = z.string().regex(ID_PATTERN, 'use lower-case letters, digits and hyphens, at most 63')
const share = z.number().min(0).max(1)
const positiveInt = z.number().int().positive()
const durationMs = z.number().int().nonnegative()

const keySchema = z.discriminatedUnion('from', [
  z.strictObject({ from: z.literal('header') }),
  z.strictObject({ from: z.literal('path'), name: z.string().min(1) }),
  z.strictObject({ from: z.literal('field'), name: z.string().min(1) })
])

const operationBase = {
  /** Name of the operation, unique within the service. */
  name: idText,
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service; a segment that begins with a colon matches any one segment. */
  path: z.string().regex(/^\/\S*$/, 'begin the path with a slash'),
  /** Maximum time to the first byte of the response, in ms. */
  deadlineMs: positiveInt,
  /** Maximum time to the end of the response, in ms; set high for downloads. */
  longestMs: positiveInt.default(30_000),
  /** Maximum size of the request body, in bytes. */
  largestBodyBytes: z.number().int().nonnegative().max(MAX_BODY_BYTES).default(65_536)
}

const operationSchema = z.discriminatedUnion('repeatable', [
  z.strictObject({ ...operationBase, repeatable: z.literal(true) }),
  z.strictObject({ ...operationBase, repeatable: z.literal(false), key: keySchema })
])

const targetSchema = z.strictObject({
  id: idText,
  address: z.ipv4('give an IPv4 address'),
  port: z.number().int().min(1).max(MAX_PORT),
  zone: idText
})

const serviceSchema = z.strictObject({
  targets: z.array(targetSchema).min(1),
  /** Requests that one target processes at once. */
  slotsPerTarget: positiveInt,
  /** Maximum connections that one target accepts from all entries together. */
  connectionsPerTarget: positiveInt,
  measuring: z.strictObject({
    /** Budget for measuring all targets of the service, in ms of server time a second. */
    budgetMsPerSecond: z.number().nonnegative(),
    /** Cost of one probe for a target, in ms of server time. */
    probeCostMs: z.number().positive(),
    /** Cost of one new connection for a target, in ms of server time. */
    connectCostMs: z.number().nonnegative(),
    /** Path of the health endpoint on targets. */
    probePath: z.string().startsWith('/').default('/health')
  }),
  hedging: z.strictObject({
    /** Delay after which an idempotent request without a first byte is hedged to a second target, in ms. */
    afterMs: positiveInt,
    /** Hedged requests allowed, as a share of all requests. */
    budgetShare: share
  }),
  retries: z.strictObject({
    /** Retries allowed, as a share of successful requests. */
    budgetShare: share,
    /** Maximum attempts for one request, the first one included. */
    largestAttempts: positiveInt
  }),
  /** Maximum share of targets that may be ejected at once. */
  ejectedShare: share,
  queue: z.strictObject({
    /** Maximum requests in the queue of one entry. */
    longest: z.number().int().nonnegative(),
    /** Queue timeout of a request, in ms. */
    longestWaitMs: durationMs
  }),
  /** Slow start: time in which a new target ramps up to its full share of work, in ms. */
  coldRampMs: durationMs,
  /** Status and header by which a target signals that it rejected a request without starting it. */
  shedSignal: z.strictObject({ status: z.number().int().min(400).max(599), header: z.string().min(1) }),
  operations: z.array(operationSchema).min(1)
})

/** Schema of a contract; rules that span several fields are in `contract-check.ts`. */
export const contractSchema = z.strictObject({
  customer: idText,
  version: positiveInt,
  /** The version that this one replaces; 0 for the first. */
  basedOn: z.number().int().nonnegative(),
  /** When the version takes effect. */
  effectiveAt: z.iso.datetime({ offset: true, error: 'give a date and time with offset, such as 2027-01-15T00:00:00+09:00' }),
  limits: z.strictObject({
    /** Requests a second over all entries. */
    requestsPerSecond: positiveInt,
    /** Requests at once over all entries. */
    concurrentRequests: positiveInt
  }),
  entries: z.strictObject({
    /** Maximum number of entry processes that may run at once, at any time. */
    largestCount: positiveInt,
    /** How long callers may cache the addresses of entries, in ms. */
    addressLifetimeMs: positiveInt
  }),
  /** Claim window: how long an idempotency key is remembered, in ms. */
  onceWindowMs: positiveInt,
  services: z.record(idText, serviceSchema)
})

type ParsedContract = z.infer<typeof contractSchema>
type ParsedService = ParsedContract['services'][string]

/** Source of the idempotency key of a non-idempotent operation. */
export type KeySource = z.infer<typeof keySchema>
/** An operation of a service. */
export type Operation = z.infer<typeof operationSchema>
/** A target in a contract. */
export interface ContractTarget { id: TargetId, address: string, port: number, zone: ZoneId }
/** A service of a contract. */
export type ServiceContract = Omit<ParsedService, 'targets'> & { targets: ContractTarget[] }
/** A contract that has been checked. */
export type Contract = Omit<ParsedContract, 'customer' | 'version' | 'basedOn' | 'services'> & {
  customer: CustomerId
  version: ContractVersion
  basedOn: ContractVersion
  services: Record<ServiceId, ServiceContract>
}
