/**
 * Folds the contract stream. The result depends only on the records, so all readers reach the same state.
 */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { CustomerId, Nonce, Offset } from '../types.ts'
import { checkContractText } from './contract-check.ts'
import { decodeText, hashBytes } from './contract-record.ts'
import type { CarriedVersion, PublishRecord } from './contract-record.ts'
import type { Contract } from './contract.ts'

/**
 * How long a version is kept after its successor takes effect, by the publishers' clocks, in ms.
 * An entry whose clock lags by less than this always finds the version that is in effect by its clock.
 */
export const SUPERSEDED_RETENTION_MS = 600_000

/** A version that the fold has accepted. */
export interface AcceptedVersion {
  contract: Contract
  /** The text, compressed by raw deflate. */
  packed: Uint8Array
  /** Hash over `packed`, in hexadecimal digits. */
  packedHash: string
  offset: Offset
  nonce: Nonce
  operator: string
  /** Wall time at the publisher, in ms since 1970. */
  publishedAtMs: number
  /** When it takes effect, in ms since 1970. */
  effectiveAtMs: number
}

/** The accepted versions of one customer that can still be in effect, oldest first. */
export type Schedule = readonly AcceptedVersion[]

/** The state after a prefix of the stream. Schedules are replaced, never modified in place. */
export type FoldState = Map<CustomerId, Schedule>

/** Result of folding a published record. */
export type FoldResult =
  /** `previous` is the customer's schedule before the record. */
  | { kind: 'accepted', version: AcceptedVersion, previous: Schedule | undefined }
  /** The record was written to the stream more than once, and was accepted before. */
  | { kind: 'repeated', version: AcceptedVersion }
  | { kind: 'rejected', customer: string, reason: string }

function describeHead (head: AcceptedVersion | undefined): string {
  return head
    ? `version ${head.contract.version} by ${head.operator} was accepted first, at offset ${head.offset}`
    : 'no version is accepted yet'
}

/** Describes why a change does not follow the newest accepted version; returns undefined if it does. */
function describeMismatch (contract: Contract, record: PublishRecord, head: AcceptedVersion | undefined): string | undefined {
  if (contract.basedOn !== (head?.contract.version ?? 0)) return `based on version ${contract.basedOn}, but ${describeHead(head)}`
  if (record.basedOnNonce !== (head?.nonce ?? '')) return `based on another change than the accepted one: ${describeHead(head)}`
  return undefined
}

/** Returns a schedule with `added`, without the versions that can then no longer be in effect. */
function dropSuperseded (schedule: Schedule, added: AcceptedVersion): Schedule {
  const kept = [...schedule.filter((version) => version.effectiveAtMs < added.effectiveAtMs), added]
  // The earlier of two publishers' clocks, so that a fast clock does not drop a version too soon.
  const nowMs = Math.min(added.publishedAtMs, schedule.at(-1)?.publishedAtMs ?? 0)
  return kept.filter((_version, index) => {
    const successor = kept[index + 1]
    return !successor || successor.effectiveAtMs + SUPERSEDED_RETENTION_MS >= nowMs
  })
}

/** Identifies an accepted version without its content. */
export type VersionSummary = Omit<CarriedVersion, 'packed'> & Pick<AcceptedVersion, 'packedHash'>

/** A fold state without the content of its contracts. */
export type StateSummary = Map<CustomerId, readonly VersionSummary[]>

type VersionSource = Pick<AcceptedVersion, 'packed' | 'nonce' | 'operator' | 'publishedAtMs' | 'offset'>

function createVersion (contract: Contract, { packed, nonce, operator, publishedAtMs, offset }: VersionSource): AcceptedVersion {
  return {
    contract, packed, packedHash: hashBytes(packed), offset, nonce, operator, publishedAtMs, effectiveAtMs: Date.parse(contract.effectiveAt)
  }
}

function parsePacked (packed: Uint8Array): Result<Contract, string> {
  const text = decodeText(packed)
  if (text.isErr()) return err(text.error)
  return checkContractText(text.value).mapErr(([fault]) =>
    fault ? `line ${fault.line}, column ${fault.column}: ${fault.message}` : 'not a contract')
}

/** Returns whether two records are the same change. */
export function isSameChange (a: Pick<PublishRecord, 'nonce' | 'packed'>, b: Pick<PublishRecord, 'nonce' | 'packed'>): boolean {
  return a.nonce === b.nonce && Buffer.compare(a.packed, b.packed) === 0
}

/** Folds one published record into the state and returns the result. */
export function foldPublish (state: FoldState, record: PublishRecord, offset: Offset): FoldResult {
  const checked = parsePacked(record.packed)
  if (checked.isErr()) return { kind: 'rejected', customer: '', reason: checked.error }
  const contract = checked.value
  const previous = state.get(contract.customer)
  const schedule = previous ?? []
  const repeated = schedule.find((version) => isSameChange(version, record))
  if (repeated) return { kind: 'repeated', version: repeated }
  const mismatch = describeMismatch(contract, record, schedule.at(-1))
  if (mismatch) return { kind: 'rejected', customer: contract.customer, reason: mismatch }
  const version = createVersion(contract, { ...record, offset })
  state.set(contract.customer, dropSuperseded(schedule, version))
  return { kind: 'accepted', version, previous }
}

/** Returns the newest version whose date has passed at `wallMs`, in ms since 1970; undefined if there is none. */
export function findVersionInEffect (schedule: Schedule, wallMs: number): AcceptedVersion | undefined {
  return schedule.findLast((version) => version.effectiveAtMs <= wallMs)
}

function toCarried ({ contract, packed, offset, nonce, operator, publishedAtMs }: AcceptedVersion): CarriedVersion {
  return { version: contract.version, packed, offset, nonce, operator, publishedAtMs }
}

/** Lists the versions of a state in the form of a checkpoint, in the order of customers. */
export function listCarried (state: FoldState): CarriedVersion[][] {
  return [...state.keys()].sort().map((customer) => (state.get(customer) ?? []).map(toCarried))
}

/** Returns the summaries of a schedule's versions. */
export function toVersionSummaries (schedule: Schedule): VersionSummary[] {
  return schedule.map(({ contract, packedHash, offset, nonce, operator, publishedAtMs }) =>
    ({ version: contract.version, packedHash, offset, nonce, operator, publishedAtMs }))
}

/** Returns the hash of a state, in hexadecimal digits. Equal states have equal hashes. */
export function hashState (state: StateSummary): string {
  const hash = createHash('sha256')
  for (const customer of [...state.keys()].sort()) {
    for (const { version, offset, nonce, operator, publishedAtMs, packedHash } of state.get(customer) ?? []) {
      hash.update(JSON.stringify([customer, version, offset, nonce, operator, publishedAtMs, packedHash]))
    }
  }
  return hash.digest('hex')
}

/** Returns the state without the content of its contracts. */
export function toStateSummary (state: FoldState): StateSummary {
  return new Map([...state].map(([customer, schedule]) => [customer, toVersionSummaries(schedule)]))
}

function isSameVersion (summary: VersionSummary, carried: CarriedVersion | undefined): boolean {
  return carried !== undefined && summary.version === carried.version && summary.offset === carried.offset && summary.nonce === carried.nonce &&
    summary.operator === carried.operator && summary.publishedAtMs === carried.publishedAtMs && summary.packedHash === hashBytes(carried.packed)
}

/** Returns whether a checkpoint contains exactly this state; does not parse the contract texts. */
export function hasCarriedState (state: StateSummary, schedules: readonly CarriedVersion[][], digest: string): boolean {
  const own = [...state.keys()].sort().map((customer) => state.get(customer) ?? [])
  if (own.length !== schedules.length || hashState(state) !== digest) return false
  return own.every((schedule, index) => {
    const carried = schedules[index] ?? []
    return schedule.length === carried.length && schedule.every((summary, versionIndex) => isSameVersion(summary, carried[versionIndex]))
  })
}

function buildSchedule (carried: readonly CarriedVersion[]): Result<Schedule, string> {
  const schedule: AcceptedVersion[] = []
  for (const source of carried) {
    const checked = parsePacked(source.packed)
    if (checked.isErr()) return err(`carries a contract that is not valid: ${checked.error}`)
    const previous = schedule.at(-1)
    const isOutOfOrder = previous && (previous.contract.customer !== checked.value.customer || previous.contract.version >= checked.value.version)
    if (checked.value.version !== source.version || isOutOfOrder) return err('carries versions that do not belong together')
    schedule.push(createVersion(checked.value, source))
  }
  return ok(schedule)
}

/** Builds a state from a checkpoint. The error describes what is wrong with the checkpoint. */
export function buildState (schedules: readonly CarriedVersion[][], digest: string): Result<FoldState, string> {
  const state: FoldState = new Map()
  for (const carried of schedules) {
    const built = buildSchedule(carried)
    if (built.isErr()) return err(built.error)
    const customer = built.value[0]?.contract.customer
    if (customer === undefined || state.has(customer)) return err('carries a customer twice')
    state.set(customer, built.value)
  }
  return hashState(toStateSummary(state)) === digest ? ok(state) : err('its digest does not match what it carries')
}
