/**
 * The contracts of this process: the folded state of the stream and what is in force of it.
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

/** What the book needs. */
export interface ContractBookOptions {
  clock: Clock
  audit: Pick<AuditTrail, 'record'>
}

/** The folded state of the stream and what is in force of it. */
export interface ContractBook {
  inForce: InForce
  /** Folds a published record that stands at or after the next offset. */
  foldRecord(record: PublishRecord, offset: Offset): void
  /** Notes that every record below `offset` has been folded. */
  advanceTo(offset: Offset): void
  getNextOffset(): Offset
  getState(): FoldState
  /** Returns the state as it was after every record below `offset`; undefined when that is no longer known. */
  getStateAt(offset: Offset): MarkedState | undefined
  /** Forgets how the state was below `offset`. */
  dropHistory(offset: Offset): void
  /** Takes another state; whatever is in force stays until something newer is due. */
  replaceState(state: FoldState, nextOffset: Offset): void
  getContract(customer: CustomerId): Result<Contract, AppError>
  listContracts(): { newest: AcceptedContract, versionInForce: ContractVersion }[]
  /** Tells verdicts to the audit trail from now on; records read while starting are old news. */
  startAudit(): void
}

interface PastSchedule { offset: Offset, customer: CustomerId, schedule: readonly VersionMark[] | undefined }

function toAcceptedContract ({ contract, packed, offset, nonce, operator }: AcceptedVersion): AcceptedContract {
  return { contract, text: decodeText(packed).unwrapOr(''), offset, nonce, operator }
}

function getContract (state: FoldState, inForce: InForce, customer: CustomerId): Result<Contract, AppError> {
  const version = inForce.getVersion(customer)
  if (version) return ok(version.contract)
  if (state.size === 0) return err(createError('no-contract', 'No contract is known here yet.'))
  if (state.has(customer)) return err(createError('no-contract', `No contract of ${customer} is in force yet.`))
  return err(createError('unknown-customer', `No contract names the customer ${customer}.`))
}

function listContracts (state: FoldState, inForce: InForce): ReturnType<ContractBook['listContracts']> {
  return [...state].flatMap(([customer, schedule]) => {
    const newest = schedule.at(-1)
    return newest ? [{ newest: toAcceptedContract(newest), versionInForce: inForce.getVersionNumber(customer) }] : []
  })
}

/** Returns `state` with every later change undone, the newest first. */
function buildPastState (state: FoldState, later: readonly PastSchedule[]): MarkedState {
  const past = toMarkedState(state)
  for (const { customer, schedule } of later.toReversed()) {
    if (schedule) past.set(customer, schedule)
    else past.delete(customer)
  }
  return past
}

function recordVerdict (audit: Pick<AuditTrail, 'record'>, verdict: FoldVerdict, offset: Offset): void {
  switch (verdict.kind) {
    case 'accepted': {
      const { customer, version } = verdict.version.contract
      audit.record({ type: 'contract-accepted', customer, version, offset })
      break
    }
    case 'rejected':
      audit.record({ type: 'contract-rejected', customer: verdict.customer, offset, reason: verdict.reason })
      break
    case 'repeated':
  }
}

/** Creates an empty book. */
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
      const verdict = foldPublish(state, record, offset)
      if (isAudited) recordVerdict(audit, verdict, offset)
      if (verdict.kind !== 'accepted') return
      const { customer } = verdict.version.contract
      history.push({ offset, customer, schedule: verdict.previous && toMarks(verdict.previous) })
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
