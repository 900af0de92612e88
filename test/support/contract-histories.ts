/**
 * Runs generated histories of the contract stream with several readers and publishers over a log in memory, and checks
 * the versions in effect and the results of publishing.
 */
import fc from 'fast-check'
import { createTestClock } from '../../src/clock.ts'
import type { Clock, TestClock } from '../../src/clock.ts'
import type { LogClient } from '../../src/process/log-client.ts'
import type { ContractRecord } from '../../src/process/contracts/contract-state.ts'
import { toBrand } from '../../src/types.ts'
import type { Offset, StreamName } from '../../src/types.ts'
import { decodeStreamRecord, encodeStreamRecord } from '../../src/version/contract-record.ts'
import { createLogStore } from '../../stand-ins/log-store.ts'
import { createContractText } from './contract-texts.ts'
import { createFakeLog } from './fake-log.ts'
import type { AppendFault, FakeLog, FakeLogClient } from './fake-log.ts'
import { createProcessGate } from './process-gate.ts'
import type { ProcessGate } from './process-gate.ts'

/** The contract stream. */
export const CONTRACTS = toBrand<StreamName>('contracts')
const READER_COUNT = 3
const START_MS = 1_800_000_000_000
const SETTLE_STEP_MS = 1_000
const SETTLE_STEPS = 12

/** The result of publishing a contract, as reported to the operator. */
export type PublishResult = 'accepted' | 'rejected' | 'not-written' | 'unknown'

/** A reader under test. The mark of a version is its rate limit in requests per second, which is unique for each change. */
export interface HistoryReader {
  start(): void
  /** Returns the version in effect, if any. */
  getInEffect(): { version: number, mark: number } | undefined
  getNextOffset(): Offset
  listRecords(from: Offset): ContractRecord[]
  addPeerRecords(previousOffset: Offset, records: ContractRecord[]): number
  close(): Promise<void>
}

/** A way to read and publish contracts through the log. */
export interface ContractStrategy {
  createReader(log: LogClient, clock: Clock, random: () => number): HistoryReader
  publish(log: LogClient, clock: Clock, text: string, operator: string): Promise<PublishResult>
}

type Step =
  | { kind: 'publish', isStale: boolean, delayMs: number, fault: AppendFault }
  | { kind: 'advance', ms: number }
  | { kind: 'outage', isOut: boolean }
  | { kind: 'restart', reader: number }
  | { kind: 'pause' | 'resume', reader: number }
  /** Sets the offset of a reader's wall clock. */
  | { kind: 'clock-skew', reader: number, ms: number }
  /** Sets the fault of a reader's next append, of a checkpoint or a vote. */
  | { kind: 'append-fault', reader: number, fault: AppendFault }
  /** Reads the records of one reader now and delivers them to another `delaySteps` steps later. */
  | { kind: 'peer-records', from: number, to: number, isFromStart: boolean, delaySteps: number }
  | { kind: 'late-append' }
  | { kind: 'retention', keep: number }
  | { kind: 'garbage', shape: 'bytes' | 'foreign' | 'text' | 'large' }

const reader = fc.integer({ min: 0, max: READER_COUNT - 1 })
const faults: AppendFault[] = ['none', 'none', 'none', 'none', 'answer-lost', 'late-lost', 'never-landed', 'refused']

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('publish' as const), isStale: fc.constantFrom(false, false, false, true), delayMs: fc.constantFrom(-30_000, -1_000, 0, 3_000), fault: fc.constantFrom(...faults) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), ms: fc.constantFrom(1, 50, 700, 4_000) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('outage' as const), isOut: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart' as const), reader }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'resume' as const), reader }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('clock-skew' as const), reader, ms: fc.constantFrom(-60_000, -10_000, 4_000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('append-fault' as const), reader, fault: fc.constantFrom(...faults) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('peer-records' as const), from: reader, to: reader, isFromStart: fc.boolean(), delaySteps: fc.constantFrom(0, 0, 1, 4, 9) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('late-append' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('retention' as const), keep: fc.integer({ min: 0, max: 6 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('garbage' as const), shape: fc.constantFrom('bytes' as const, 'foreign' as const, 'text' as const, 'large' as const) }) }
)

/** Generates sequences of published changes, faults and recoveries. */
export const historyArbitrary = fc.array(stepArbitrary, { minLength: 4, maxLength: 40, size: 'max' })

interface ReaderState { reader: HistoryReader, client: FakeLogClient, gate: ProcessGate, wallSkewMs: number, lastVersion: number }
interface Change { version: number, mark: number, result: PublishResult | 'pending' }

interface Simulation {
  strategy: ContractStrategy
  clock: TestClock
  fake: FakeLog
  readerStates: ReaderState[]
  changes: Change[]
  publishing: Promise<void>[]
  inFlight: { dueStep: number, deliver: () => void }[]
  /** The mark of each version that any reader has had in effect, by version. */
  effectiveMarks: Map<number, number>
  step: number
}

/**
 * A violated guarantee.
 * - `went-back`: a reader replaced its version by an older one.
 * - `versions-differ`: two readers had different changes in effect under the same version.
 * - `readers-differ`: readers have different versions in effect after all faults have ended.
 * - `false-refusal`: a change was reported as rejected or not written, but took effect.
 * - `two-winners`: two changes were reported as accepted under the same version.
 * - `false-acceptance`: a change was reported as accepted, but another one took effect under its version.
 * - `lost-acceptance`: a change was reported as accepted, but readers still have an older version in effect.
 */
export type ViolationKind = 'went-back' | 'versions-differ' | 'readers-differ' | 'false-refusal' | 'two-winners' | 'false-acceptance' | 'lost-acceptance'

/** The error that a violation throws. */
export type HistoryViolation = Error & { kind: ViolationKind }

/** Throws a violation unless `isTrue`. */
function assertHolds (isTrue: boolean, kind: ViolationKind, message: string): void {
  if (!isTrue) throw Object.assign(new Error(message), { kind })
}

function createReaderState ({ strategy, clock, fake }: Simulation, index: number): ReaderState {
  const gate = createProcessGate()
  const client = fake.createClient(gate)
  const state: ReaderState = { gate, client, wallSkewMs: 0, lastVersion: 0, reader: undefined as unknown as HistoryReader }
  const ownClock = gate.createClock(clock)
  const skewedClock: Clock = { ...ownClock, wallMs: () => clock.wallMs() + state.wallSkewMs }
  state.reader = strategy.createReader(client, skewedClock, () => (index + 1) / (READER_COUNT + 1))
  state.reader.start()
  return state
}

function publishChange (simulation: Simulation, step: Extract<Step, { kind: 'publish' }>): void {
  const { strategy, fake, clock, changes, readerStates, publishing } = simulation
  const knownVersion = readerStates[changes.length % READER_COUNT]?.lastVersion ?? 0
  const version = Math.max(1, step.isStale ? knownVersion : knownVersion + 1)
  const change: Change = { version, mark: changes.length + 1, result: 'pending' }
  changes.push(change)
  const effectiveAt = new Date(clock.wallMs() + step.delayMs).toISOString()
  const text = createContractText({ version, effectiveAt, requestsPerSecond: change.mark })
  const client = fake.createClient(createProcessGate())
  client.addAppendFaults(step.fault)
  publishing.push(strategy.publish(client, clock, text, `op${change.mark}`).then((result) => { change.result = result }))
}

function sendRecords (simulation: Simulation, step: Extract<Step, { kind: 'peer-records' }>): void {
  const source = simulation.readerStates[step.from]
  const target = simulation.readerStates[step.to]
  if (!source || !target || step.from === step.to) return
  const from = step.isFromStart ? 0 as Offset : target.reader.getNextOffset()
  const records = source.reader.listRecords(from)
  if (records.length === 0) return
  // With different delays, messages arrive out of order.
  simulation.inFlight.push({ dueStep: simulation.step + step.delaySteps, deliver: () => { simulation.readerStates[step.to]?.reader.addPeerRecords(from, records) } })
}

function appendGarbage ({ fake }: Simulation, shape: Extract<Step, { kind: 'garbage' }>['shape']): void {
  const build = (): Uint8Array => {
    switch (shape) {
      case 'bytes': return Uint8Array.of(0xff, 0x00, 0x9f)
      case 'foreign': return encodeStreamRecord({ type: 'contract', v: 2 } as never)
      case 'text': return encodeStreamRecord({ type: 'contract', v: 1, nonce: toBrand('x'), basedOnNonce: '', operator: 'x', publishedAtMs: 1, packed: Uint8Array.of(1, 2, 3) })
      case 'large': return new Uint8Array(1_100_000)
    }
  }
  fake.store.appendRecord(CONTRACTS, build())
}

function resetReader (simulation: Simulation, index: number): void {
  simulation.readerStates[index]?.gate.kill()
  simulation.readerStates[index] = createReaderState(simulation, index)
}

type ReaderStep = Extract<Step, { reader: number }>

function runReaderStep (simulation: Simulation, state: ReaderState, step: ReaderStep): void {
  switch (step.kind) {
    case 'restart': return resetReader(simulation, step.reader)
    case 'pause': return state.gate.pause()
    case 'resume': return state.gate.resume()
    case 'append-fault': return state.client.addAppendFaults(step.fault)
    case 'clock-skew': state.wallSkewMs = step.ms
  }
}

async function runStep (simulation: Simulation, step: Step): Promise<void> {
  if ('reader' in step) {
    const state = simulation.readerStates[step.reader]
    if (state) runReaderStep(simulation, state, step)
    return
  }
  switch (step.kind) {
    case 'publish': return publishChange(simulation, step)
    case 'advance': return simulation.clock.advance(step.ms)
    case 'outage': return simulation.fake.setOutage(step.isOut)
    case 'peer-records': return sendRecords(simulation, step)
    case 'late-append':
      simulation.fake.releaseLateAppend()
      return
    case 'retention': return dropCheckpointedRecords(simulation, step.keep)
    case 'garbage': return appendGarbage(simulation, step.shape)
  }
}

/**
 * Drops old records as the log's retention does, but only those that the newest complete checkpoint covers: the
 * retention is longer than the interval between checkpoints.
 */
function dropCheckpointedRecords ({ fake }: Simulation, keep: number): void {
  const { earliest, next } = fake.store.readBounds(CONTRACTS)
  const records = fake.store.readRecords(CONTRACTS, earliest, next)?.records ?? []
  const covered = records.map(({ data }) => findCheckpointEnd(data)).findLast((offset) => offset !== undefined)
  if (covered !== undefined) fake.store.dropBefore(CONTRACTS, Math.min(covered, Math.max(earliest, next - keep)) as Offset)
}

function findCheckpointEnd (data: Uint8Array): number | undefined {
  const decoded = decodeStreamRecord(data)
  return decoded.isOk() && decoded.value.type === 'checkpoint' ? decoded.value.coversTo : undefined
}

/** Checks the version that each reader has in effect against its earlier versions and the other readers. */
function checkReaders (simulation: Simulation): void {
  for (const state of simulation.readerStates) {
    const inEffect = state.reader.getInEffect()
    if (!inEffect) continue
    assertHolds(inEffect.version >= state.lastVersion, 'went-back', `a reader went back from version ${state.lastVersion} to ${inEffect.version}`)
    state.lastVersion = inEffect.version
    const mark = simulation.effectiveMarks.get(inEffect.version) ?? inEffect.mark
    assertHolds(mark === inEffect.mark, 'versions-differ', `version ${inEffect.version} is change ${mark} for one reader and change ${inEffect.mark} for another`)
    simulation.effectiveMarks.set(inEffect.version, mark)
  }
}

/** Ends every fault, delivers all messages and late appends, and waits until all readers are up to date. */
async function settleSimulation (simulation: Simulation): Promise<void> {
  const { fake, readerStates, clock } = simulation
  fake.setOutage(false)
  for (const state of readerStates) {
    state.gate.resume()
    state.wallSkewMs = 0
  }
  for (const { deliver } of simulation.inFlight) deliver()
  while (fake.releaseLateAppend()) await clock.advance(1)
  for (let step = 0; step < SETTLE_STEPS; step++) await clock.advance(SETTLE_STEP_MS)
  await Promise.all(simulation.publishing)
}

function checkFinalState (simulation: Simulation): void {
  const { readerStates, changes, effectiveMarks } = simulation
  const contractsInEffect = readerStates.map((state) => JSON.stringify(state.reader.getInEffect()))
  assertHolds(new Set(contractsInEffect).size === 1, 'readers-differ', `readers differ in the end: ${contractsInEffect.join(' ')}`)
  const winners = new Map<number, number>()
  for (const { version, mark, result } of changes) {
    const wasInEffect = effectiveMarks.get(version) === mark
    if (result === 'rejected' || result === 'not-written') assertHolds(!wasInEffect, 'false-refusal', `change ${mark} was reported as ${result}, but took effect`)
    if (result !== 'accepted') continue
    assertHolds(!winners.has(version), 'two-winners', `changes ${winners.get(version)} and ${mark} were both reported as accepted under version ${version}`)
    winners.set(version, mark)
    const other = effectiveMarks.get(version)
    assertHolds(other === undefined || other === mark, 'false-acceptance', `change ${mark} was reported as accepted under version ${version}, but change ${other} took effect`)
  }
  const newestAccepted = Math.max(0, ...winners.keys())
  const finalVersion = readerStates[0]?.reader.getInEffect()?.version ?? 0
  assertHolds(finalVersion >= newestAccepted, 'lost-acceptance', `version ${newestAccepted} was reported as accepted, but version ${finalVersion} is in effect in the end`)
}

/** Runs a history; throws a `HistoryViolation` when a guarantee is violated. */
export async function runHistory (strategy: ContractStrategy, steps: readonly Step[]): Promise<void> {
  const clock = createTestClock(START_MS)
  const fake = createFakeLog({ clock, store: createLogStore(() => clock.wallMs()) })
  const simulation: Simulation = { strategy, clock, fake, readerStates: [], changes: [], publishing: [], inFlight: [], effectiveMarks: new Map(), step: 0 }
  simulation.readerStates = Array.from({ length: READER_COUNT }, (_value, index) => createReaderState(simulation, index))
  try {
    for (const step of steps) {
      simulation.step += 1
      await runStep(simulation, step)
      const due = simulation.inFlight.filter(({ dueStep }) => dueStep <= simulation.step)
      simulation.inFlight = simulation.inFlight.filter(({ dueStep }) => dueStep > simulation.step)
      for (const { deliver } of due) deliver()
      checkReaders(simulation)
    }
    await settleSimulation(simulation)
    checkReaders(simulation)
    checkFinalState(simulation)
  } finally {
    await closeSimulation(simulation)
  }
}

async function closeSimulation ({ readerStates, clock }: Simulation): Promise<void> {
  for (const state of readerStates) state.gate.resume()
  const closing = Promise.all(readerStates.map((state) => state.reader.close()))
  await clock.advance(SETTLE_STEP_MS)
  await closing
}
