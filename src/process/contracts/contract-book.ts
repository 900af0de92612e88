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
import { foldPublish } from '../../version/contract-fold.ts'
import type { AcceptedVersion, FoldState } from '../../version/contract-fold.ts'
import { decodeStreamRecord } from '../../version/contract-record.ts'
import type { PublishRecord } from '../../version/contract-record.ts'
import type { Contract } from '../../version/contract.ts'
import type { AuditTrail } from '../audit/audit-trail.ts'
import type { AcceptedContract, ContractRecord } from './contract-state.ts'
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
  /** Folds a record; false when it was folded before. */
  applyRecord(record: ContractRecord): boolean
  /** Notes that no record stands below `offset` that has not been folded. */
  advanceTo(offset: Offset): void
  getNextOffset(): Offset
  getContract(customer: CustomerId): Result<Contract, AppError>
  listContracts(): { newest: AcceptedContract, versionInForce: ContractVersion }[]
}

function toAcceptedContract ({ contract, text, offset, nonce, operator }: AcceptedVersion): AcceptedContract {
  return { contract, text, offset, nonce, operator }
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

/** Creates an empty book. */
export function createContractBook (options: ContractBookOptions): ContractBook {
  const { clock, audit } = options
  const state: FoldState = new Map()
  let nextOffset = toBrand<Offset>(0)

  const inForce = createInForce({
    clock,
    getState: () => state,
    recordInForce: ({ contract }) => audit.record({ type: 'contract-in-force', customer: contract.customer, version: contract.version })
  })

  const applyPublish = (record: PublishRecord, offset: Offset): void => {
    const verdict = foldPublish(state, record, offset)
    switch (verdict.kind) {
      case 'accepted': {
        const { customer, version } = verdict.version.contract
        audit.record({ type: 'contract-accepted', customer, version, offset })
        inForce.updateCustomer(customer)
        break
      }
      case 'rejected':
        audit.record({ type: 'contract-rejected', customer: verdict.customer, offset, reason: verdict.reason })
        break
      case 'repeated':
    }
  }

  return {
    inForce,
    applyRecord ({ offset, data }) {
      if (offset < nextOffset) return false
      const decoded = decodeStreamRecord(data)
      if (decoded.isErr()) audit.record({ type: 'record-skipped', stream: CONTRACT_STREAM, offset, reason: decoded.error })
      else if (decoded.value.type === 'contract') applyPublish(decoded.value, offset)
      nextOffset = toBrand<Offset>(offset + 1)
      return true
    },
    advanceTo (offset) {
      if (offset > nextOffset) nextOffset = offset
    },
    getNextOffset: () => nextOffset,
    getContract: (customer) => getContract(state, inForce, customer),
    listContracts: () => listContracts(state, inForce)
  }
}
