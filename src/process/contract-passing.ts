/**
 * Passes contract records between entries, so that an accepted version spreads while the platform is down.
 */
import type { Clock } from '../clock.ts'
import type { Cancel, EntryId } from '../types.ts'
import type { ContractState } from './contracts/contract-state.ts'
import type { PeerMesh, PeerMessage } from './membership/peer-mesh.ts'

const CHECK_INTERVAL_MS = 500
/** Records in one message; what is missing comes with the next check. */
const LARGEST_BATCH = 50

/** What passing needs. */
export interface ContractPassingOptions {
  clock: Clock
  contracts: ContractState
  mesh: PeerMesh
  /** Whether this entry serves; before that its offset is not told, so that no caller is sent here. */
  isServing(): boolean
}

/** Starts to compare offsets with the peers, asking for records that are missing here and answering such requests. */
export function startContractPassing (options: ContractPassingOptions): Cancel {
  const { clock, contracts, mesh } = options
  const stop = new AbortController()

  const publishOffset = (): void => {
    if (options.isServing()) mesh.setContractOffset(contracts.getNextOffset())
  }
  const handleMessage = (from: EntryId, message: PeerMessage): void => {
    switch (message.type) {
      case 'contract-pull': {
        const records = contracts.listRecords(message.from).slice(0, LARGEST_BATCH)
        if (records.length > 0) mesh.sendTo(from, { type: 'contract-records', previousOffset: message.from, records })
        break
      }
      case 'contract-records':
        contracts.addPeerRecords(message.previousOffset, message.records)
        publishOffset()
        break
      case 'target-leaving':
      case 'topic-stretch':
      case 'forward-request':
      case 'forward-answer':
    }
  }
  const fetchFromNewest = (): void => {
    const ownOffset = contracts.getNextOffset()
    publishOffset()
    const ahead = mesh.listPeers().filter((peer) => !peer.isSelf && peer.state !== 'gone' && peer.contractOffset > ownOffset)
    const newest = ahead.sort((a, b) => b.contractOffset - a.contractOffset)[0]
    if (newest) mesh.sendTo(newest.id, { type: 'contract-pull', from: ownOffset })
  }
  const runChecks = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      fetchFromNewest()
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
