/**
 * The contract store of this process: the folded state of the contract stream and the versions in effect.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Clock } from '../../clock.ts'
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import { toBrand } from '../../types.ts'
import type { ContractVersion, CustomerId, Offset, StreamName } from '../../types.ts'
import { foldPublish, toStateSummary, toVersionSummaries } from '../../version/contract-fold.ts'
import type { AcceptedVersion, FoldState, FoldResult, StateSummary, VersionSummary } from '../../version/contract-fold.ts'
import { decodeText } from '../../version/contract-record.ts'
import type { PublishRecord } from '../../version/contract-record.ts'
import type { Contract } from '../../version/contract.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { AcceptedContract } from './contract-state.ts'
import { createContractsInEffect } from './contracts-in-effect.ts'
import type { ContractsInEffect } from './contracts-in-effect.ts'

/** The stream on which operators publish contracts. */
export const CONTRACT_STREAM = toBrand<StreamName>('contracts')

/** Options for a contract store. */
export interface ContractStoreOptions {
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
}

/** The folded state of the stream and the versions in effect. */
export interface ContractStore {
  inEffect: ContractsInEffect
  /** Folds a published record whose offset is at or after the next offset. */
  foldRecord(record: PublishRecord, offset: Offset): void
  /** Sets the next offset if `offset` is higher: every record below it has been folded. */
  advanceTo(offset: Offset): void
  /** Returns the offset of the next record to fold. */
  getNextOffset(): Offset
  getState(): FoldState
  /** Returns the state after every record below `offset`; undefined when its history is no longer kept. */
  getStateAt(offset: Offset): StateSummary | undefined
  /** Drops the history of the state before `offset`. */
  dropHistory(offset: Offset): void
  /** Replaces the state; a version in effect stays until a newer one is due. */
  replaceState(state: FoldState, nextOffset: Offset): void
  /** Returns the contract in effect. Errors: `no-contract` when there is none yet, `unknown-customer`. */
  getContract(customer: CustomerId): Result<Contract, AppError>
  /** Lists the newest accepted contract of each customer with the version in effect (0: none yet). */
  listContracts(): { newest: AcceptedContract, versionInEffect: ContractVersion }[]
  /** Starts recording fold results in the audit trail; those of records read while starting are not recorded. */
  startAudit(): void
}

interface PastSchedule { offset: Offset, customer: CustomerId, schedule: readonly VersionSummary[] | undefined }

function toAcceptedContract ({ contract, packed, offset, nonce, operator }: AcceptedVersion): AcceptedContract {
  return { contract, text: decodeText(packed).unwrapOr(''), offset, nonce, operator }
}

function getContract (state: FoldState, inEffect: ContractsInEffect, customer: CustomerId): Result<Contract, AppError> {
  const version = inEffect.getVersion(customer)
  if (version) return ok(version.contract)
  if (state.size === 0) return err(createError('no-contract', 'No contract has been loaded yet.'))
  if (state.has(customer)) return err(createError('no-contract', `No contract of customer "${customer}" is in effect yet.`))
  return err(createError('unknown-customer', `There is no contract for customer "${customer}".`))
}

function listContracts (state: FoldState, inEffect: ContractsInEffect): ReturnType<ContractStore['listContracts']> {
  return [...state].flatMap(([customer, schedule]): ReturnType<ContractStore['listContracts']> => {
    const newest = schedule.at(-1)
    return newest ? [{ newest: toAcceptedContract(newest), versionInEffect: inEffect.getVersionNumber(customer) }] : []
  })
}

/** Returns `state` with the later changes undone, newest first. */
function buildPastState (state: FoldState, later: readonly PastSchedule[]): StateSummary {
  const past = toStateSummary(state)
  for (const { customer, schedule } of later.toReversed()) {
    if (schedule) past.set(customer, schedule)
    else past.delete(customer)
  }
  return past
}

function recordFoldResult (audit: Pick<AuditTrail, 'record'>, result: FoldResult, offset: Offset): void {
  switch (result.kind) {
    case 'accepted': {
      const { customer, version } = result.version.contract
      audit.record({ type: 'contract-accepted', customer, version, offset })
      break
    }
    case 'rejected':
      audit.record({ type: 'contract-rejected', customer: result.customer, offset, reason: result.reason })
      break
    case 'repeated':
  }
}

/** Creates an empty contract store. */
export function createContractStore (options: ContractStoreOptions): ContractStore {
  const { clock, audit } = options
  let state: FoldState = new Map()
  let nextOffset = toBrand<Offset>(0)
  let history: PastSchedule[] = []
  let historyStart = nextOffset
  let isAudited = false

  const inEffect = createContractsInEffect({
    clock,
    getState: () => state,
    recordInEffect: ({ contract }) => audit.record({ type: 'contract-in-force', customer: contract.customer, version: contract.version })
  })

  return {
    inEffect,
    foldRecord (record, offset) {
      const result = foldPublish(state, record, offset)
      if (isAudited) recordFoldResult(audit, result, offset)
      if (result.kind !== 'accepted') return
      const { customer } = result.version.contract
      history.push({ offset, customer, schedule: result.previous && toVersionSummaries(result.previous) })
      inEffect.updateCustomer(customer)
    },
    advanceTo (offset) {
      if (offset > nextOffset) nextOffset = offset
    },
    getNextOffset: () => nextOffset,
    getState: () => state,
    getStateAt: (offset) => offset < historyStart || offset > nextOffset
      ? undefined
      : buildPastState(state, history.filter((past) => past.offset >= offset)),
    dropHistory (offset) {
      history = history.filter((past) => past.offset >= offset)
      historyStart = offset
    },
    replaceState (replacement, offset) {
      state = replacement
      nextOffset = offset
      history = []
      historyStart = offset
      for (const customer of state.keys()) inEffect.updateCustomer(customer)
    },
    getContract: (customer) => getContract(state, inEffect, customer),
    listContracts: () => listContracts(state, inEffect),
    startAudit () {
      isAudited = true
    }
  }
}
