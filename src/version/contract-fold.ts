/**
 * The fold of the contract stream. It depends on nothing but the records, so every reader reaches the same state.
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
 * How long after its successor's date a version is still kept, by the publishers' clocks, in ms.
 * Entries whose clocks lag by less than this always find the version that is in force for them.
 */
export const SUPERSEDED_KEPT_MS = 600_000

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
  /** When it comes into force, in ms since 1970. */
  effectiveAtMs: number
}

/** The accepted versions of one customer that can still be in force, oldest first; the last is the newest. */
export type Schedule = readonly AcceptedVersion[]

/** The state after a prefix of the stream. Schedules are replaced, never changed in place. */
export type FoldState = Map<CustomerId, Schedule>

/** What the fold says about a published record. */
export type FoldVerdict =
  /** `previous` is the customer's schedule before. */
  | { kind: 'accepted', version: AcceptedVersion, previous: Schedule | undefined }
  /** The record stands on the stream more than once and was accepted before. */
  | { kind: 'repeated', version: AcceptedVersion }
  | { kind: 'rejected', customer: string, reason: string }

function describeHead (head: AcceptedVersion | undefined): string {
  return head
    ? `version ${head.contract.version} by ${head.operator} was accepted first, at offset ${head.offset}`
    : 'no version is accepted yet'
}

/** Says why a change does not follow the accepted version; undefined when it does. */
function describeMismatch (contract: Contract, record: PublishRecord, head: AcceptedVersion | undefined): string | undefined {
  if (contract.basedOn !== (head?.contract.version ?? 0)) return `based on version ${contract.basedOn}, but ${describeHead(head)}`
  if (record.basedOnNonce !== (head?.nonce ?? '')) return `based on another change than the accepted one: ${describeHead(head)}`
  return undefined
}

/** Drops the versions that can no longer be in force once `added` is accepted. */
function dropSuperseded (schedule: Schedule, added: AcceptedVersion): Schedule {
  const kept = [...schedule.filter((version) => version.effectiveAtMs < added.effectiveAtMs), added]
  // The earlier of two publishers' clocks, so that one that runs fast drops nothing too soon.
  const nowMs = Math.min(added.publishedAtMs, schedule.at(-1)?.publishedAtMs ?? 0)
  return kept.filter((_version, index) => {
    const successor = kept[index + 1]
    return !successor || successor.effectiveAtMs + SUPERSEDED_KEPT_MS >= nowMs
  })
}

/** What tells one accepted version from another, without its content. */
export type VersionMark = Omit<CarriedVersion, 'packed'> & Pick<AcceptedVersion, 'packedHash'>

/** A state without the content of its contracts. */
export type MarkedState = Map<CustomerId, readonly VersionMark[]>

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

/** Returns whether two records are the same change, written twice. */
export function isSameChange (a: Pick<PublishRecord, 'nonce' | 'packed'>, b: Pick<PublishRecord, 'nonce' | 'packed'>): boolean {
  return a.nonce === b.nonce && Buffer.compare(a.packed, b.packed) === 0
}

/** Folds one published record into the state and says what became of it. */
export function foldPublish (state: FoldState, record: PublishRecord, offset: Offset): FoldVerdict {
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

/** Returns the highest version whose date has passed at `wallMs`, if any. */
export function findVersionInForce (schedule: Schedule, wallMs: number): AcceptedVersion | undefined {
  return schedule.findLast((version) => version.effectiveAtMs <= wallMs)
}

function toCarried ({ contract, packed, offset, nonce, operator, publishedAtMs }: AcceptedVersion): CarriedVersion {
  return { version: contract.version, packed, offset, nonce, operator, publishedAtMs }
}

/** Lists a state as checkpoints carry it, in the order of customers. */
export function listCarried (state: FoldState): CarriedVersion[][] {
  return [...state.keys()].sort().map((customer) => (state.get(customer) ?? []).map(toCarried))
}

/** Returns what tells the versions of a schedule from others. */
export function toMarks (schedule: Schedule): VersionMark[] {
  return schedule.map(({ contract, packedHash, offset, nonce, operator, publishedAtMs }) =>
    ({ version: contract.version, packedHash, offset, nonce, operator, publishedAtMs }))
}

/** Hashes a state; equal states give equal digests, in hexadecimal digits. */
export function hashState (state: MarkedState): string {
  const hash = createHash('sha256')
  for (const customer of [...state.keys()].sort()) {
    for (const { version, offset, nonce, operator, publishedAtMs, packedHash } of state.get(customer) ?? []) {
      hash.update(JSON.stringify([customer, version, offset, nonce, operator, publishedAtMs, packedHash]))
    }
  }
  return hash.digest('hex')
}

/** Returns the state without the content of its contracts. */
export function toMarkedState (state: FoldState): MarkedState {
  return new Map([...state].map(([customer, schedule]) => [customer, toMarks(schedule)]))
}

function isSameVersion (mark: VersionMark, carried: CarriedVersion | undefined): boolean {
  return carried !== undefined && mark.version === carried.version && mark.offset === carried.offset && mark.nonce === carried.nonce &&
    mark.operator === carried.operator && mark.publishedAtMs === carried.publishedAtMs && mark.packedHash === hashBytes(carried.packed)
}

/** Returns whether a checkpoint carries exactly this state, without parsing its texts. */
export function hasCarriedState (state: MarkedState, schedules: readonly CarriedVersion[][], digest: string): boolean {
  const own = [...state.keys()].sort().map((customer) => state.get(customer) ?? [])
  if (own.length !== schedules.length || hashState(state) !== digest) return false
  return own.every((schedule, index) => {
    const carried = schedules[index] ?? []
    return schedule.length === carried.length && schedule.every((mark, place) => isSameVersion(mark, carried[place]))
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

/** Builds a state from a checkpoint. The error says what is wrong with it. */
export function buildState (schedules: readonly CarriedVersion[][], digest: string): Result<FoldState, string> {
  const state: FoldState = new Map()
  for (const carried of schedules) {
    const built = buildSchedule(carried)
    if (built.isErr()) return err(built.error)
    const customer = built.value[0]?.contract.customer
    if (customer === undefined || state.has(customer)) return err('carries a customer twice')
    state.set(customer, built.value)
  }
  return hashState(toMarkedState(state)) === digest ? ok(state) : err('its digest does not match what it carries')
}
