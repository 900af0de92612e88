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
import { foldPublish, toMarkedState, toMarks } from '../../version/contract-fold.ts'
import type { AcceptedVersion, FoldState, FoldVerdict, MarkedState, VersionMark } from '../../version/contract-fold.ts'
import { decodeText } from '../../version/contract-record.ts'
import type { PublishRecord } from '../../version/contract-record.ts'
import type { Contract } from '../../version/contract.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { AcceptedContract } from './contract-state.ts'
import { createInForce } from './in-force.ts'
import type { InForce } from './in-force.ts'

/** The stream on which operators publish contracts. */
export const CONTRACT_STREAM = toBrand<StreamName>('contracts')

/** Options for a contract store. */
export interface ContractBookOptions {
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
}

/** The folded state of the stream and the versions in effect. */
export interface ContractBook {
  inForce: InForce
  /** Folds a published record whose offset is at or after the next offset. */
  foldRecord(record: PublishRecord, offset: Offset): void
  /** Sets the next offset if `offset` is higher: every record below it has been folded. */
  advanceTo(offset: Offset): void
  /** Returns the offset of the next record to fold. */
  getNextOffset(): Offset
  getState(): FoldState
  /** Returns the state after every record below `offset`; undefined when its history is no longer kept. */
  getStateAt(offset: Offset): MarkedState | undefined
  /** Drops the history of the state before `offset`. */
  dropHistory(offset: Offset): void
  /** Replaces the state; a version in effect stays until a newer one is due. */
  replaceState(state: FoldState, nextOffset: Offset): void
  getContract(customer: CustomerId): Result<Contract, AppError>
  listContracts(): { newest: AcceptedContract, versionInForce: ContractVersion }[]
  /** Starts recording fold results in the audit trail; those of records read while starting are not recorded. */
  startAudit(): void
}

interface PastSchedule { offset: Offset, customer: CustomerId, schedule: readonly VersionMark[] | undefined }

function toAcceptedContract ({ contract, packed, offset, nonce, operator }: AcceptedVersion): AcceptedContract {
  return { contract, text: decodeText(packed).unwrapOr(''), offset, nonce, operator }
}

function getContract (state: FoldState, inForce: InForce, customer: CustomerId): Result<Contract, AppError> {
  const version = inForce.getVersion(customer)
  if (version) return ok(version.contract)
  if (state.size === 0) return err(createError('no-contract', 'No contract has been loaded yet.'))
  if (state.has(customer)) return err(createError('no-contract', `No contract of customer "${customer}" is in effect yet.`))
  return err(createError('unknown-customer', `There is no contract for customer "${customer}".`))
}

function listContracts (state: FoldState, inForce: InForce): ReturnType<ContractBook['listContracts']> {
  return [...state].flatMap(([customer, schedule]): ReturnType<ContractBook['listContracts']> => {
    const newest = schedule.at(-1)
    return newest ? [{ newest: toAcceptedContract(newest), versionInForce: inForce.getVersionNumber(customer) }] : []
  })
}

/** Returns `state` with the later changes undone, newest first. */
function buildPastState (state: FoldState, later: readonly PastSchedule[]): MarkedState {
  const past = toMarkedState(state)
  for (const { customer, schedule } of later.toReversed()) {
    if (schedule) past.set(customer, schedule)
    else past.delete(customer)
  }
  return past
}

function recordFoldResult (audit: Pick<AuditTrail, 'record'>, result: FoldVerdict, offset: Offset): void {
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
export function createContractBook (options: ContractBookOptions): ContractBook {
  const { clock, audit } = options
  let state: FoldState = new Map()
  let nextOffset = toBrand<Offset>(0)
  let history: PastSchedule[] = []
  let historyStart = nextOffset
  let isAudited = false

  const inForce = createInForce({
    clock,
    getState: () => state,
    recordInForce: ({ contract }) => audit.record({ type: 'contract-in-force', customer: contract.customer, version: contract.version })
  })

  return {
    inForce,
    foldRecord (record, offset) {
      const result = foldPublish(state, record, offset)
      if (isAudited) recordFoldResult(audit, result, offset)
      if (result.kind !== 'accepted') return
      const { customer } = result.version.contract
      history.push({ offset, customer, schedule: result.previous && toMarks(result.previous) })
      inForce.updateCustomer(customer)
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
      for (const customer of state.keys()) inForce.updateCustomer(customer)
    },
    getContract: (customer) => getContract(state, inForce, customer),
    listContracts: () => listContracts(state, inForce),
    startAudit () {
      isAudited = true
    }
  }
}
