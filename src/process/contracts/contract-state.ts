/**
 * What the process knows of contracts: accepted versions of each customer and the one in force.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Cancel, ContractVersion, CustomerId, Nonce, Offset } from '../../types.ts'
import type { Contract } from '../../version/contract.ts'

/** A contract that the fold of the stream has accepted. */
export interface AcceptedContract {
  contract: Contract
  /** The text exactly as it was published. */
  text: string
  offset: Offset
  nonce: Nonce
  /** Who published it. */
  operator: string
}

/** A record of the stream as peers pass it on. */
export interface ContractRecord { offset: Offset, data: Uint8Array }

/** Read side of the contract stream, the same on every entry. */
export interface ContractState {
  /** Returns the contract in force. Errors: `no-contract` when none is known yet, `unknown-customer`. */
  getContract(customer: CustomerId): Result<Contract, AppError>
  /** Lists the newest accepted contract of each customer with the version in force (0: none yet). */
  listContracts(): { newest: AcceptedContract, versionInForce: ContractVersion }[]
  /** The offset from which the next record is expected; everything below it has been folded. */
  getNextOffset(): Offset
  /** Returns records from an offset on, for a peer that lags; empty when they are no longer kept. */
  listRecords(from: Offset): ContractRecord[]
  /** Takes records passed on by a peer, which must follow on from `previousOffset`; returns how many were new. */
  addPeerRecords(previousOffset: Offset, records: ContractRecord[]): number
  /** Calls `action` whenever the contract in force of a customer changes. */
  watchContracts(action: (contract: Contract) => void): Cancel
}
