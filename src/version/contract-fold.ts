/**
 * The fold of the contract stream. It depends on nothing but the records, so every reader reaches the same state.
 */
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ContractVersion, CustomerId, Nonce, Offset } from '../types.ts'
import { checkContractText } from './contract-check.ts'
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
  text: string
  offset: Offset
  nonce: Nonce
  operator: string
  /** When it comes into force, in ms since 1970. */
  effectiveAtMs: number
}

/** The accepted versions of one customer that can still be in force, oldest first; the last is the newest. */
export type Schedule = readonly AcceptedVersion[]

/** The state after a prefix of the stream. */
export type FoldState = Map<CustomerId, Schedule>

/** What the fold says about a published record. */
export type FoldVerdict =
  | { kind: 'accepted', version: AcceptedVersion }
  /** The record stands on the stream more than once and was accepted before. */
  | { kind: 'repeated', version: AcceptedVersion }
  | { kind: 'rejected', customer: string, reason: string }

function formatHead (head: AcceptedVersion): string {
  return `version ${head.contract.version} by ${head.operator} was accepted first, at offset ${head.offset}`
}

function describeMismatch (contract: Contract, record: PublishRecord, head: AcceptedVersion | undefined): string | undefined {
  const headVersion = head?.contract.version ?? 0
  if (contract.basedOn !== headVersion) {
    return head ? `based on version ${contract.basedOn}, but ${formatHead(head)}` : `based on version ${contract.basedOn}, but no version is accepted yet`
  }
  if (record.basedOnNonce !== (head?.nonce ?? '')) return 'based on another change than the accepted one of that version'
  return undefined
}

/** Drops versions that can no longer be in force once `added` is accepted. */
function dropSuperseded (schedule: Schedule, added: AcceptedVersion, publishedAtMs: number): Schedule {
  const pending = schedule.filter((version) => version.effectiveAtMs < added.effectiveAtMs)
  const kept = [...pending, added]
  const isSuperseded = (index: number) => {
    const successor = kept[index + 1]
    return successor !== undefined && successor.effectiveAtMs + SUPERSEDED_KEPT_MS < publishedAtMs
  }
  return kept.filter((_version, index) => !isSuperseded(index))
}

/** Folds one published record into the state and says what became of it. */
export function foldPublish (state: FoldState, record: PublishRecord, offset: Offset): FoldVerdict {
  const checked = checkContractText(record.text)
  if (checked.isErr()) {
    const fault = checked.error[0]
    return { kind: 'rejected', customer: '', reason: fault ? `line ${fault.line}, column ${fault.column}: ${fault.message}` : 'not a contract' }
  }
  const contract = checked.value
  const schedule = state.get(contract.customer) ?? []
  const head = schedule.at(-1)
  const repeated = schedule.find((version) => version.nonce === record.nonce)
  if (repeated) return { kind: 'repeated', version: repeated }
  const mismatch = describeMismatch(contract, record, head)
  if (mismatch) return { kind: 'rejected', customer: contract.customer, reason: mismatch }
  const version = createVersion(contract, record, offset)
  state.set(contract.customer, dropSuperseded(schedule, version, record.publishedAtMs))
  return { kind: 'accepted', version }
}

function createVersion (contract: Contract, source: { text: string, nonce: Nonce, operator: string }, offset: Offset): AcceptedVersion {
  return { contract, text: source.text, offset, nonce: source.nonce, operator: source.operator, effectiveAtMs: Date.parse(contract.effectiveAt) }
}

/** Returns the highest version whose date has passed at `wallMs`, if any. */
export function findVersionInForce (schedule: Schedule, wallMs: number): AcceptedVersion | undefined {
  return schedule.findLast((version) => version.effectiveAtMs <= wallMs)
}

/** Hashes a state; equal states give equal digests, in hexadecimal digits. */
export function hashState (state: FoldState): string {
  const hash = createHash('sha256')
  for (const customer of [...state.keys()].sort()) {
    for (const version of state.get(customer) ?? []) {
      hash.update(JSON.stringify([customer, version.contract.version, version.offset, version.nonce, version.operator, version.text]))
    }
  }
  return hash.digest('hex')
}

/** Lists a state as checkpoints carry it, in the order of customers. */
export function listCarried (state: FoldState): { versions: CarriedVersion[] }[] {
  return [...state.keys()].sort().map((customer) => ({
    versions: (state.get(customer) ?? []).map(({ contract, nonce, operator, offset, text }) =>
      ({ version: contract.version as ContractVersion, nonce, operator, offset, text }))
  }))
}

/** Builds a state from a checkpoint. The error says what is wrong with it. */
export function buildState (customers: readonly { versions: CarriedVersion[] }[], digest: string): Result<FoldState, string> {
  const state: FoldState = new Map()
  for (const { versions } of customers) {
    for (const carried of versions) {
      const checked = checkContractText(carried.text)
      if (checked.isErr() || checked.value.version !== carried.version) return err('carries a contract that is not valid')
      const schedule = state.get(checked.value.customer) ?? []
      state.set(checked.value.customer, [...schedule, createVersion(checked.value, carried, carried.offset)])
    }
  }
  return hashState(state) === digest ? ok(state) : err('its digest does not match what it carries')
}
