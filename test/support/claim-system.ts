/**
 * Starts a system of real processes for tests of claims, which compare the responses with the targets' ledgers of runs.
 */
import path from 'node:path'
import { request } from 'undici'
import { createDeployment } from '../../replay/deployment.ts'
import type { EntryHost } from '../../replay/deployment.ts'
import { waitFor } from '../../replay/programs.ts'
import { startSystem } from '../../replay/system.ts'
import type { System } from '../../replay/system.ts'
import { CLAIM_PARTITIONS, computePartition, hashKey } from '../../src/process/claims/claim-keys.ts'
import { rankEntries } from '../../src/process/claims/rendezvous.ts'
import type { CustomerId, ServiceId } from '../../src/types.ts'
import { getLoopbackAddress } from './addresses.ts'

const ENTRY_COUNT = 3
const WORK_MS = 20
const READY_TIMEOUT_MS = 20_000
const QUEUE_WAIT_MS = 5_000
const CUSTOMER = 'kyushu' as CustomerId
const SERVICE = 'collection' as ServiceId
const OPERATION = 'issue-ticket'

/** The response to a request for a ticket. `fate` holds the execution status; `isRepeated`: a stored response was returned. */
export interface TicketResponse { status: number, fate: string, kind: string | undefined, detail?: string, isRepeated: boolean }

/** A system whose `collection` service issues one ticket for each lot; the lot is the idempotency key. */
export interface ClaimSystem {
  system: System
  entries: readonly EntryHost[]
  /** Returns a new lot for whose claim partition the entry ranks first. */
  createLot(owner: EntryHost): string
  /** Requests the ticket of a lot through an entry; `fate` is `lost` when no response arrives. */
  askTicket(entry: EntryHost, lot: string, clerk?: string): Promise<TicketResponse>
  /** Requests the state of a lot, which is idempotent; returns the HTTP status. */
  askStatus(entry: EntryHost, lot: string): Promise<number>
  /** Sends enough requests to take every slot of the target, so that the next requests queue at the entry. */
  fillSlots(entry: EntryHost): Promise<TicketResponse>[]
  /** Resolves when every slot of the target is busy. */
  waitForBusySlots(): Promise<void>
  /** Resolves when the log holds `claims` claims of a lot. */
  waitForClaim(lot: string, claims?: number): Promise<void>
  setLogFaults(faults: unknown): Promise<void>
  setSlowFactor(slowFactor: number): Promise<void>
  /** Counts how often the request for the ticket of a lot ran. */
  countRuns(lot: string): Promise<number>
  /** Sends a signal to the process of an entry. */
  sendSignal(entry: EntryHost, signal: NodeJS.Signals): void
  stop(): Promise<unknown>
}

function computeLotPartition (lot: string): number {
  return computePartition(hashKey(CUSTOMER, SERVICE, OPERATION, lot), CLAIM_PARTITIONS)
}

/** Starts a system and publishes its contract. */
export async function startClaimSystem (): Promise<ClaimSystem> {
  const ownAddress = getLoopbackAddress(0)
  const deployment = createDeployment({
    sample: 'kyushu',
    root: process.cwd(),
    network: ownAddress.slice(0, ownAddress.lastIndexOf('.')),
    entryCount: ENTRY_COUNT,
    maxTargetsPerService: 1,
    changeContract (contract) {
      contract.services[SERVICE]!.queue.longestWaitMs = QUEUE_WAIT_MS
    }
  })
  const system = await startSystem({ deployment, files: { dist: path.resolve('dist') }, workMs: WORK_MS })
  const target = deployment.targets.find(({ service }) => service === SERVICE)!
  const entries = deployment.entries
  let lotCount = 0
  await system.startEntries()
  await system.publishContract()

  const sendTicket = async (entry: EntryHost, lot: string, clerk = 'clerk'): Promise<TicketResponse> => {
    try {
      const response = await request(`http://${entry.address}:${entry.callerPort}/${CUSTOMER}/${SERVICE}/lots/${lot}/ticket`, {
        method: 'POST', body: JSON.stringify({ clerk }), headers: { 'content-type': 'application/json' }
      })
      const text = await response.body.text()
      const { kind, detail } = text.includes('"kind"') ? JSON.parse(text) as { kind?: string, detail?: string } : {}
      return { status: response.statusCode, fate: String(response.headers['x-medlarcove-fate']), kind, detail, isRepeated: response.headers['x-medlarcove-repeated'] === 'true' }
    } catch {
      return { status: 0, fate: 'lost', kind: undefined, isRepeated: false }
    }
  }
  const readRuns = async (): Promise<{ operation: string, state: string }[]> => {
    const response = await request(`http://${target.address}:${target.port}/ledger-of-runs`)
    return (await response.body.json() as { runs: { operation: string, state: string }[] }).runs
  }
  const createLot = (owner: EntryHost): string => {
    for (;;) {
      const lot = `lot-${lotCount++}`
      if (rankEntries(`claims-${computeLotPartition(lot)}`, entries.map(({ id }) => id))[0] === owner.id) return lot
    }
  }
  return {
    system,
    entries,
    createLot,
    askTicket: sendTicket,
    async askStatus (entry, lot) {
      const response = await request(`http://${entry.address}:${entry.callerPort}/${CUSTOMER}/${SERVICE}/lots/${lot}`)
      await response.body.dump()
      return response.statusCode
    },
    fillSlots: (entry) => Array.from({ length: 12 }, () => sendTicket(entry, createLot(entry))),
    async waitForBusySlots () {
      await waitFor('every slot is busy', READY_TIMEOUT_MS, async () => {
        const runs = await readRuns()
        return runs.filter(({ state }) => state === 'running').length >= target.slots ? true : undefined
      })
    },
    async waitForClaim (lot, claims = 1) {
      const url = `${system.logUrl}/streams/claims-${computeLotPartition(lot)}/records?from=0`
      const keyText = hashKey(CUSTOMER, SERVICE, OPERATION, lot)
      await waitFor(`the claim of ${lot} is on the log`, READY_TIMEOUT_MS, async () => {
        const text = Buffer.from(await (await request(url)).body.arrayBuffer()).toString('latin1')
        return text.split(keyText).length > claims ? true : undefined
      })
    },
    setLogFaults: (faults) => system.setFaults('log', faults),
    setSlowFactor: (slowFactor) => system.setFaults(target, { slowFactor }),
    async countRuns (lot) {
      const runs = await readRuns()
      return runs.filter(({ operation }) => operation.includes(`/lots/${lot}/ticket`)).length
    },
    sendSignal: (entry, signal) => system.getProgram(entry.id)?.sendSignal(signal),
    stop: () => system.stop()
  }
}
