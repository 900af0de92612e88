/**
 * The contract of one customer: every limit that the system enforces for the customer follows from it.
 */
import { z } from 'zod'
import type { ContractVersion, CustomerId, ServiceId, TargetId, ZoneId } from '../types.ts'

const MAX_PORT = 65_535
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
  /** Path below the service; a part that begins with a colon matches any one part. */
  path: z.string().regex(/^\/\S*$/, 'begin the path with a slash'),
  /** The longest that the first byte of the answer may take, in ms. */
  deadlineMs: positiveInt,
  /** The longest that a whole answer may take, in ms; downloads set it high. */
  longestMs: positiveInt.default(30_000),
  /** The largest request body, in bytes. */
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
  /** Requests that one target works on at once. */
  slotsPerTarget: positiveInt,
  /** Connections that one target accepts from all entries together. */
  connectionsPerTarget: positiveInt,
  measuring: z.strictObject({
    /** What measuring may cost the whole service, in ms of server time a second. */
    budgetMsPerSecond: z.number().nonnegative(),
    /** What one probe costs a target, in ms of server time. */
    probeCostMs: z.number().positive(),
    /** What one new connection costs a target, in ms of server time. */
    connectCostMs: z.number().nonnegative(),
    /** Path of the health endpoint on targets. */
    probePath: z.string().startsWith('/').default('/health')
  }),
  hedging: z.strictObject({
    /** When a repeatable request without a first byte is sent to a second target, in ms. */
    afterMs: positiveInt,
    /** Extra requests allowed as a share of all requests. */
    budgetShare: share
  }),
  retries: z.strictObject({
    /** Extra requests allowed as a share of successful requests. */
    budgetShare: share,
    /** Attempts for one request, the first one included. */
    largestAttempts: positiveInt
  }),
  /** The largest share of targets that may be ejected at once. */
  ejectedShare: share,
  queue: z.strictObject({
    /** Requests waiting at one entry. */
    longest: z.number().int().nonnegative(),
    /** The longest that a request waits for a target, in ms. */
    longestWaitMs: durationMs
  }),
  /** How long a new target takes to reach its full share of work, in ms. */
  coldRampMs: durationMs,
  /** How a target says that it refused work unstarted. */
  shedSignal: z.strictObject({ status: z.number().int().min(400).max(599), header: z.string().min(1) }),
  operations: z.array(operationSchema).min(1)
})

/** Checks the shape of a contract; cross-field rules are in `contract-check.ts`. */
export const contractSchema = z.strictObject({
  customer: idText,
  version: positiveInt,
  /** The version that this one replaces; 0 for the first. */
  basedOn: z.number().int().nonnegative(),
  /** When it comes into force. */
  effectiveAt: z.iso.datetime({ offset: true, error: 'give a date and time with offset, such as 2027-01-15T00:00:00+09:00' }),
  limits: z.strictObject({
    /** Requests a second over all entries. */
    requestsPerSecond: positiveInt,
    /** Requests at once over all entries. */
    concurrentRequests: positiveInt
  }),
  entries: z.strictObject({
    /** The largest number of entry processes that may ever run at once. */
    largestCount: positiveInt,
    /** How long callers may keep an answer with addresses, in ms. */
    addressLifetimeMs: positiveInt
  }),
  /** How long a key is remembered, in ms. */
  onceWindowMs: positiveInt,
  services: z.record(idText, serviceSchema)
})

type ParsedContract = z.infer<typeof contractSchema>
type ParsedService = ParsedContract['services'][string]

/** Where the key of an operation that may not be repeated is found. */
export type KeySource = z.infer<typeof keySchema>
/** An operation of a service. */
export type Operation = z.infer<typeof operationSchema>
/** A target as the contract lists it. */
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
