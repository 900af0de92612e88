/**
 * Cost of the state of contracts, targets, limits, claims and caller addresses for one entry, by its size.
 */
import { createHostClock } from '../src/clock.ts'
import { hashKey, hashRequest } from '../src/process/claims/claim-keys.ts'
import { createLogClaimStore } from '../src/process/claims/log-claim-store.ts'
import { encodeDemandRecord } from '../src/process/limits/demand-record.ts'
import type { CustomerNeed, DemandRecord } from '../src/process/limits/demand-record.ts'
import { createGrantFold, listPools } from '../src/process/limits/grant-fold.ts'
import { orderAddresses } from '../src/process/membership/address-order.ts'
import type { PeerView } from '../src/process/membership/peer-mesh.ts'
import { createTargetSet } from '../src/process/targets/local-target-set.ts'
import { toBrand } from '../src/types.ts'
import type { CustomerId, EntryId, Incarnation, Nonce, Offset, ServiceId, ZoneId } from '../src/types.ts'
import { foldPublish } from '../src/version/contract-fold.ts'
import type { FoldState } from '../src/version/contract-fold.ts'
import { encodeText } from '../src/version/contract-record.ts'
import type { PublishRecord } from '../src/version/contract-record.ts'
import { checkContractText } from '../src/version/contract-check.ts'
import type { Contract } from '../src/version/contract.ts'
import { createMemoryLog } from './capacity-log.ts'
import { createRow, measureRun, readOwnCpuMs, readUsedBytes } from './capacity-slope.ts'
import type { CapacityPoint, CapacityRow } from './capacity-slope.ts'
import { SAMPLE_SERVICE_SETTINGS } from './sample-service.ts'

const TARGETS_PER_SERVICE = 12
const SERVICE_COUNTS = [4, 40, 400]
const HOLDER_COUNTS = [6, 60, 600]
const CUSTOMER_COUNT = 10
const CLAIM_COUNTS = [2_000, 8_000, 32_000]
const ENTRY_COUNTS = [6, 60, 300]
const ZONE_COUNT = 36
const MS_PER_HOUR = 3_600_000
const FIRST_OFFSET = toBrand<Offset>(0)

function buildService (number: number): unknown {
  const targets = Array.from({ length: TARGETS_PER_SERVICE }, (_, index) => ({
    id: `s${number}-t${index}`, address: `10.${number >> 8}.${number & 255}.${index + 1}`, port: 9_000, zone: `zone-${index % ZONE_COUNT}`
  }))
  const timing = { deadlineMs: 1_000, longestMs: 30_000 }
  return {
    targets,
    ...SAMPLE_SERVICE_SETTINGS,
    operations: [
      { name: 'status', method: 'GET', path: '/slots/:slot', repeatable: true, ...timing },
      { name: 'charge', method: 'POST', path: '/slots/:slot/charge', repeatable: false, key: { from: 'header' }, ...timing }
    ]
  }
}

function buildContractText (services: number): string {
  return JSON.stringify({
    customer: `customer-${services}`,
    version: 1,
    basedOn: 0,
    effectiveAt: '2020-01-01T00:00:00Z',
    limits: { requestsPerSecond: 1_000_000, concurrentRequests: 1_000_000 },
    entries: { largestCount: 6, addressLifetimeMs: 5_000 },
    onceWindowMs: MS_PER_HOUR,
    services: Object.fromEntries(Array.from({ length: services }, (_, index) => [`s${index}`, buildService(index)]))
  })
}

function parseContract (services: number): Contract {
  return checkContractText(buildContractText(services))._unsafeUnwrap()
}

/** Measures one version of a contract: bytes on the log, time to fold it, and memory of its state. */
export function measureContracts (): CapacityRow {
  const points = SERVICE_COUNTS.map((size) => {
    const text = buildContractText(size)
    const packed = encodeText(text)
    const record: PublishRecord = { type: 'contract', v: 1, nonce: toBrand<Nonce>('n'), basedOnNonce: '', operator: 'o', publishedAtMs: 0, packed }
    const foldOnce = (): FoldState => {
      const state: FoldState = new Map()
      const result = foldPublish(state, record, FIRST_OFFSET)
      if (result.kind !== 'accepted') throw new Error(`the contract was not accepted: ${JSON.stringify(result)}`)
      return state
    }
    foldOnce()
    const beforeBytes = readUsedBytes()
    const state = foldOnce()
    const memoryBytes = readUsedBytes() - beforeBytes
    const runs = Math.ceil(400 / size)
    return { size: size * state.size, figures: { textBytes: text.length, logBytes: packed.length, foldMs: measureRun(runs, foldOnce), memoryBytes } }
  })
  return createRow('contracts', 'service of 12 targets', points)
}

/** Measures the target sets of one entry: memory per target and processor time per selection. */
export async function measureTargets (): Promise<CapacityRow> {
  const points: CapacityPoint[] = []
  for (const services of SERVICE_COUNTS) {
    const contract = parseContract(services)
    const clock = createHostClock()
    const entries = Array.from({ length: 6 }, (_, index) => toBrand<EntryId>(`entry-${index}`))
    const beforeBytes = readUsedBytes()
    const sets = Object.entries(contract.services).map(([serviceId, service]) => createTargetSet({
      customer: contract.customer, serviceId: toBrand<ServiceId>(serviceId), service, self: entries[0]!, entries, maxEntries: 6, clock, audit: { record: () => {} }
    }))
    const memoryBytes = readUsedBytes() - beforeBytes
    const createRequest = () => ({ exclude: new Set<never>(), deadlineMs: clock.monotonicMs() + 1_000, canWait: false, signal: new AbortController().signal })
    const SELECTION_COUNT = 20_000
    const idleCpuMs = readOwnCpuMs()
    for (let index = 0; index < SELECTION_COUNT; index++) {
      const slot = await sets[index % sets.length]!.acquireSlot(createRequest())
      slot._unsafeUnwrap().release({ kind: 'answered', status: 200, firstByteMs: 1 })
    }
    points.push({ size: services * TARGETS_PER_SERVICE, figures: { memoryBytes, cpuMsPerChoice: (readOwnCpuMs() - idleCpuMs) / SELECTION_COUNT } })
    for (const set of sets) set.close()
  }
  return createRow('targets', 'target held', points)
}

function buildNeeds (): CustomerNeed[] {
  return Array.from({ length: CUSTOMER_COUNT }, (_, index) => ({
    customer: toBrand<CustomerId>(`customer-${index}`), contractVersion: 1, ratePool: 100_000, slotPool: 10_000, keptWindows: 17, rate: 500 + index, slots: 3, held: 2
  }))
}

/** Measures one grant window: every holder reports its needs once, and one record opens the next window. */
export function measureLimits (): CapacityRow {
  const points = HOLDER_COUNTS.map((size) => {
    const needs = buildNeeds()
    const buildRecord = (holder: number, knownWindow: number): DemandRecord => ({
      type: 'demand', v: 1, entry: toBrand<EntryId>(`entry-${holder}`), run: toBrand<Incarnation>(`1800000000000-${holder}`), knownWindow, needs
    })
    const fold = createGrantFold(FIRST_OFFSET, true)
    let offset = 0
    let logBytes = 0
    const runWindow = (): void => {
      const current = fold.getWindow()
      const window = current?.window ?? 0
      const pools = current ? listPools(current.pools) : []
      for (let holder = 1; holder < size; holder++) fold.addRecord(toBrand<Offset>(offset++), buildRecord(holder, window))
      const opening = { window: window + 1, basedOn: current?.openedAt ?? -1 as const, pools }
      const record = { ...buildRecord(0, window), opening }
      logBytes = encodeDemandRecord(record).length + (size - 1) * encodeDemandRecord(buildRecord(1, window)).length
      fold.addRecord(toBrand<Offset>(offset++), record)
    }
    runWindow()
    const beforeBytes = readUsedBytes()
    const foldMs = measureRun(size > 100 ? 1 : 20, runWindow)
    return { size, figures: { foldMsPerWindow: foldMs, logBytesPerWindow: logBytes, memoryBytes: Math.max(0, readUsedBytes() - beforeBytes) } }
  })
  return createRow('limits', 'entry with needs of 10 customers', points)
}

/** Measures the claims of one entry: processor time, bytes on the log and memory, by number of keys. */
export async function measureClaims (): Promise<CapacityRow> {
  const points: CapacityPoint[] = []
  for (const size of CLAIM_COUNTS) {
    const clock = createHostClock()
    const log = createMemoryLog()
    const beforeBytes = readUsedBytes()
    const claimStore = createLogClaimStore({ log, clock, entry: toBrand<EntryId>('entry-0'), incarnation: toBrand<Incarnation>('1800000000000-0'), partitions: 1, appendsPerSecond: 1_000_000, pollMs: 100 })
    await claimStore.waitUntilReady()
    const [cpuMs, startMs] = [readOwnCpuMs(), clock.monotonicMs()]
    const BATCH_SIZE = 500
    for (let first = 0; first < size; first += BATCH_SIZE) {
      await Promise.all(Array.from({ length: BATCH_SIZE }, async (_, index) => {
        const keyHash = hashKey(toBrand<CustomerId>('millers'), toBrand<ServiceId>('slots'), 'charge', `k${first + index}`)
        const requestDigest = hashRequest('POST', '/charge', Buffer.from('{}'))
        const result = await claimStore.claimKey({ customer: toBrand<CustomerId>('millers'), service: toBrand<ServiceId>('slots'), keyHash, requestDigest, claimWindowMs: MS_PER_HOUR, deadlineMs: clock.monotonicMs() + 60_000 })
        const claimed = result._unsafeUnwrap()
        if (claimed.kind === 'admitted') claimed.claim.recordResponse({ status: 200, headers: {}, body: Buffer.from('{"ok":true}') })
      }))
    }
    await claimStore.flush(60_000)
    const figures = {
      cpuMs: readOwnCpuMs() - cpuMs, wallMs: clock.monotonicMs() - startMs, appends: claimStore.report().appends, logBytes: log.countBytes(), memoryBytes: 0
    }
    log.dropAll()
    figures.memoryBytes = readUsedBytes() - beforeBytes
    points.push({ size, figures })
    await claimStore.close()
  }
  return createRow('claims', 'key within its window', points)
}

function buildEntries (size: number): PeerView[] {
  return Array.from({ length: size }, (_, index) => ({
    id: toBrand<EntryId>(`entry-${index}`),
    incarnation: toBrand<Incarnation>('1'),
    zone: toBrand<ZoneId>(`zone-${index % ZONE_COUNT}`),
    address: '10.0.0.1',
    port: 7_000,
    peerPort: 7_100,
    state: 'live' as const,
    contractOffset: FIRST_OFFSET,
    isBusy: false,
    isSelf: false
  }))
}

/** Measures the largest share of callers that one entry gets as first address, before and after another entry is lost. */
export function measureCallerShares (): CapacityRow {
  const CALLER_COUNT = 12_000
  const points = ENTRY_COUNTS.map((size) => {
    const computeMaxShare = (entries: PeerView[]): number => {
      const counts = new Map<string, number>()
      for (let caller = 0; caller < CALLER_COUNT; caller++) {
        const first = orderAddresses({ entries, callerZone: undefined, callerId: `caller-${caller}`, lifetimeMs: 10_000 }).addresses[0]?.id ?? ''
        counts.set(first, (counts.get(first) ?? 0) + 1)
      }
      return Math.max(...counts.values()) / CALLER_COUNT
    }
    const entries = buildEntries(size)
    const largestShare = computeMaxShare(entries)
    const largestShareOneLost = computeMaxShare(entries.slice(1))
    return { size, figures: { largestShare, overEven: largestShare * size, largestShareOneLost, overEvenOneLost: largestShareOneLost * (size - 1) } }
  })
  return createRow('callers: largest share of one entry', 'entry', points)
}

/** Measures one response with the addresses of the entries, by number of entries. */
export function measureAddresses (): CapacityRow {
  const points = ENTRY_COUNTS.map((size) => {
    const entries = buildEntries(size)
    let caller = 0
    const orderNext = () => orderAddresses({ entries, callerZone: toBrand<ZoneId>('zone-3'), callerId: `caller-${caller++}`, lifetimeMs: 10_000 })
    const answerBytes = JSON.stringify(orderNext()).length
    return { size, figures: { cpuMsPerAnswer: measureRun(Math.ceil(6_000 / size), orderNext), answerBytes } }
  })
  return createRow('callers: addresses', 'entry listed', points)
}
