/**
 * Exchanges contract records between entries, so that an accepted version spreads even while the platform is unavailable.
 */
import type { Clock } from '../clock.ts'
import type { Cancel, EntryId } from '../types.ts'
import type { ContractState } from './contracts/contract-state.ts'
import type { PeerMesh, PeerMessage } from './membership/peer-mesh.ts'

const CHECK_INTERVAL_MS = 500
/** Limits the size of one message; records beyond it follow at the next check. */
const MAX_BATCH_RECORDS = 50

/** Options of the exchange. */
export interface ContractExchangeOptions {
  clock: Clock
  contracts: ContractState
  mesh: PeerMesh
  /** Returns whether this entry serves requests. Until then its offset is not published, so that callers are not sent to it. */
  isServing(): boolean
}

/** Starts to compare contract offsets with the peers, to request missing records and to respond to such requests of peers. */
export function startContractExchange (options: ContractExchangeOptions): Cancel {
  const { clock, contracts, mesh } = options
  const stop = new AbortController()

  const publishOffset = (): void => {
    if (options.isServing()) mesh.setContractOffset(contracts.getNextOffset())
  }
  const handleMessage = (from: EntryId, message: PeerMessage): void => {
    switch (message.type) {
      case 'contract-pull': {
        const records = contracts.listRecords(message.from).slice(0, MAX_BATCH_RECORDS)
        if (records.length > 0) mesh.sendTo(from, { type: 'contract-records', previousOffset: message.from, records })
        break
      }
      case 'contract-records':
        contracts.addPeerRecords(message.previousOffset, message.records)
        publishOffset()
        break
      case 'target-leaving':
      case 'forward-request':
      case 'forward-answer':
    }
  }
  const fetchMissingRecords = (): void => {
    const ownOffset = contracts.getNextOffset()
    publishOffset()
    const ahead = mesh.listPeers().filter((peer) => !peer.isSelf && peer.state !== 'gone' && peer.contractOffset > ownOffset)
    const newest = ahead.sort((a, b) => b.contractOffset - a.contractOffset)[0]
    if (newest) mesh.sendTo(newest.id, { type: 'contract-pull', from: ownOffset })
  }
  const runChecks = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      fetchMissingRecords()
      await clock.wait(CHECK_INTERVAL_MS, stop.signal)
    }
  }
  const stopWatching = mesh.watchMessages(handleMessage)
  runChecks().catch(() => stop.abort())
  return () => {
    stopWatching()
    stop.abort()
  }
}
