/**
 * The interface of the contract stream's readers: accepted contracts and the version in effect for each customer.
 */
import type { Result } from 'neverthrow'
import type { AppError } from '../../errors.ts'
import type { Cancel, ContractVersion, CustomerId, Nonce, Offset } from '../../types.ts'
import type { Contract } from '../../version/contract.ts'

/** A contract that the fold of the stream has accepted. */
export interface AcceptedContract {
  contract: Contract
  /** The published text, unchanged. */
  text: string
  offset: Offset
  nonce: Nonce
  /** Name of the operator who published it. */
  operator: string
}

/** A record of the contract stream, as peers exchange it. */
export interface ContractRecord { offset: Offset, data: Uint8Array }

/** The state of the contract stream, equal on every entry that has folded the same records. */
export interface ContractState {
  /** Returns the contract in effect. Errors: `no-contract` when there is none yet, `unknown-customer`. */
  getContract(customer: CustomerId): Result<Contract, AppError>
  /** Lists the newest accepted contract of each customer with the version in effect (0: none yet). */
  listContracts(): { newest: AcceptedContract, versionInEffect: ContractVersion }[]
  /** Returns the offset of the next record to fold; every record below it has been folded. */
  getNextOffset(): Offset
  /** Lists records from an offset on for a peer that is behind; empty when they are no longer kept. */
  listRecords(from: Offset): ContractRecord[]
  /**
   * Applies records from a peer, which sends every record from `previousOffset` on; rejects them all when this process
   * has not folded every record below that offset. Returns how many were new.
   */
  addPeerRecords(previousOffset: Offset, records: ContractRecord[]): number
  /** Calls `action` with each contract that takes effect; returns a function that ends the calls. */
  watchContracts(action: (contract: Contract) => void): Cancel
}
