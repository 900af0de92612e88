/**
 * Runs generated histories of claims over several processes and one log, and judges them by what a fake target saw.
 */
import fc from 'fast-check'
import { createTestClock } from '../../src/clock.ts'
import type { Clock, TestClock } from '../../src/clock.ts'
import type { Claim, ClaimStore, StoredResponse } from '../../src/process/claims/claim-store.ts'
import { formatClaimStream } from '../../src/process/claims/log-claim-store.ts'
import type { LogClient } from '../../src/process/log-client.ts'
import { createAttempt, createTestBook, describeVerdict } from './claim-fixtures.ts'
import { createFakeLog } from './fake-log.ts'
import type { AppendFault, FakeLog, FakeLogClient } from './fake-log.ts'
import { createProcessGate } from './process-gate.ts'
import type { ProcessGate } from './process-gate.ts'

export const MODEL_WINDOW_MS = 600_000
const RETENTION_MS = 400_000
const DEADLINE_MS = 5_000
const PROCESS_COUNT = 3
const KEYS = ['a', 'b']
const BODIES = ['same', 'same', 'same', 'other']
const STREAM = formatClaimStream(0)

/** One step of a history. */
export type Step =
  | { do: 'claim', process: number, key: number, body: number }
  | { do: 'send', pick: number, answers: boolean }
  | { do: 'void', pick: number }
  | { do: 'pause' | 'resume' | 'crash', process: number }
  | { do: 'fault', process: number, fault: AppendFault }
  | { do: 'outage', isOut: boolean }
  | { do: 'release-late' }
  | { do: 'drop-oldest', keep: number }
  | { do: 'foreign' }
  | { do: 'advance', ms: number }
  | { do: 'turn', rounds: number }

const process = fc.nat(PROCESS_COUNT - 1)
const pick = fc.nat(20)
const faults: AppendFault[] = ['refused', 'answer-lost', 'late-lost', 'never-landed', 'doubled']

/** Generates one step; claims, sends and small turns come most often. */
export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 10, arbitrary: fc.record({ do: fc.constant('claim' as const), process, key: fc.nat(KEYS.length - 1), body: fc.nat(BODIES.length - 1) }) },
  { weight: 6, arbitrary: fc.record({ do: fc.constant('send' as const), pick, answers: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('void' as const), pick }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('pause' as const), process }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('resume' as const), process }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('crash' as const), process }) },
  { weight: 4, arbitrary: fc.record({ do: fc.constant('fault' as const), process, fault: fc.constantFrom(...faults) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('outage' as const), isOut: fc.boolean() }) },
  { weight: 2, arbitrary: fc.constant({ do: 'release-late' as const }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('drop-oldest' as const), keep: fc.nat(6) }) },
  { weight: 1, arbitrary: fc.constant({ do: 'foreign' as const }) },
  { weight: 6, arbitrary: fc.record({ do: fc.constant('advance' as const), ms: fc.constantFrom(10, 100, 2_500, 6_000, 90_000, MODEL_WINDOW_MS / 2, MODEL_WINDOW_MS + 10_000) }) },
  { weight: 8, arbitrary: fc.record({ do: fc.constant('turn' as const), rounds: fc.integer({ min: 1, max: 6 }) }) }
)

/** What a strategy under test is made of. */
export interface StrategyParts { log: LogClient, clock: Clock, incarnation: string }
/** Creates a book by some strategy. */
export type Strategy = (parts: StrategyParts) => ClaimStore

/** The strategy of the product. */
export const createBookStrategy: Strategy = ({ log, clock, incarnation }) =>
  createTestBook(log, clock, incarnation, { retentionMs: RETENTION_MS, maxWindowMs: MODEL_WINDOW_MS + DEADLINE_MS, pollMs: 60_000 })

/** An attempt as its caller sees it. */
interface Attempt {
  id: number
  process: ModelProcess
  key: string
  body: string
  verdict?: string
  claim?: Claim
  isSent: boolean
  isVoided: boolean
}

interface ModelProcess { book: ClaimStore, gate: ProcessGate, client: FakeLogClient, state: 'running' | 'paused' | 'dead' }

/** What the target saw. */
interface Run { attempt: Attempt, atMs: number, isAnswered: boolean }

/** Figures of one history. */
export interface HistoryReport { attempts: number, admitted: number, runs: number, repeated: number, notRun: number, faults: string[] }

interface Model {
  clock: TestClock
  log: FakeLog
  processes: ModelProcess[]
  attempts: Attempt[]
  ledger: Run[]
  faults: string[]
  startProcess: () => ModelProcess
}

async function runTurns (rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) await new Promise<void>((resolve) => setImmediate(resolve))
}

function createModel (strategy: Strategy): Model {
  const clock = createTestClock()
  const log = createFakeLog({ clock })
  let started = 0
  const startProcess = (): ModelProcess => {
    const gate = createProcessGate()
    const client = log.createClient(gate)
    const skewMs = [0, 20_000, -20_000][started % 3]!
    const ownClock = { ...gate.createClock(clock), wallMs: () => clock.wallMs() + skewMs }
    const book = strategy({ log: client, clock: ownClock, incarnation: `incarnation-${started++}` })
    return { book, gate, client, state: 'running' }
  }
  const processes = Array.from({ length: PROCESS_COUNT }, startProcess)
  return { clock, log, processes, attempts: [], ledger: [], faults: [], startProcess }
}

/** Checks that an outcome was recorded by a run of the same key and the same request. */
function checkRepeated (model: Model, attempt: Attempt, outcome: StoredResponse): void {
  const source = model.attempts[Number(Buffer.from(outcome.body ?? []).toString())]
  if (!source?.isSent || source.key !== attempt.key || source.body !== attempt.body) model.faults.push(`attempt ${attempt.id} got an answer that is not its own`)
}

async function claimKey (model: Model, process: ModelProcess, key: string, body: string): Promise<void> {
  const attempt: Attempt = { id: model.attempts.length, process, key, body, isSent: false, isVoided: false }
  model.attempts.push(attempt)
  const result = await process.book.claimKey(createAttempt(model.clock, key, body, DEADLINE_MS, MODEL_WINDOW_MS))
  attempt.verdict = describeVerdict(result)
  if (result.isErr()) return
  if (result.value.kind === 'admitted') attempt.claim = result.value.claim
  if (result.value.kind === 'repeated') checkRepeated(model, attempt, result.value.outcome)
}

/** Finds an admitted attempt that was not yet sent or voided, in a process that runs. */
function findOpenAttempt (model: Model, number: number): Attempt | undefined {
  const open = model.attempts.filter((one) => one.claim && !one.isSent && !one.isVoided && one.process.state === 'running')
  return open[number % Math.max(1, open.length)]
}

function sendAttempt (model: Model, attempt: Attempt, answers: boolean): void {
  if (attempt.claim?.canSend?.() === false) return cancelAttempt(attempt)
  attempt.isSent = true
  model.ledger.push({ attempt, atMs: model.clock.monotonicMs(), isAnswered: answers })
  if (answers) attempt.claim?.recordResponse({ status: 201, headers: {}, body: Buffer.from(String(attempt.id)) })
}

function cancelAttempt (attempt: Attempt): void {
  attempt.isVoided = true
  attempt.claim?.releaseClaim()
}

function setProcessState (model: Model, number: number, action: 'pause' | 'resume' | 'crash'): void {
  const process = model.processes[number]!
  switch (action) {
    case 'pause':
      process.state = 'paused'
      return process.gate.pause()
    case 'resume':
      process.state = 'running'
      return process.gate.resume()
    case 'crash':
      process.state = 'dead'
      process.gate.kill()
      model.processes[number] = model.startProcess()
  }
}

/** Claims a key without waiting for the verdict. */
function startClaim (model: Model, process: ModelProcess, key: string, body: string): void {
  if (process.state !== 'running') return
  claimKey(model, process, key, body).catch((error: unknown) => model.faults.push(String(error)))
}

function applyToAttempt (model: Model, step: Step & { do: 'send' | 'void' }): void {
  const attempt = findOpenAttempt(model, step.pick)
  if (!attempt) return
  if (step.do === 'send') sendAttempt(model, attempt, step.answers)
  else cancelAttempt(attempt)
}

async function applyStep (model: Model, step: Step): Promise<void> {
  switch (step.do) {
    case 'claim': return startClaim(model, model.processes[step.process]!, KEYS[step.key]!, BODIES[step.body]!)
    case 'send':
    case 'void': return applyToAttempt(model, step)
    case 'pause':
    case 'resume':
    case 'crash': return setProcessState(model, step.process, step.do)
    case 'fault': return model.processes[step.process]!.client.addAppendFaults(step.fault)
    case 'outage': return model.log.setOutage(step.isOut)
    case 'release-late': model.log.releaseLateAppend(); return
    case 'drop-oldest': return model.log.dropOldest([STREAM], step.keep)
    case 'foreign': model.log.store.appendRecord(STREAM, new Uint8Array([1, 2, 3])); return
    case 'advance': return model.clock.advance(step.ms)
    case 'turn': return runTurns(step.rounds)
  }
}

/** Ends every fault, lets what is late land, and asks every process for every key once more; returns these attempts. */
async function settleModel (model: Model): Promise<Attempt[]> {
  model.log.setOutage(false)
  for (const { client } of model.processes) client.clearAppendFaults()
  for (let number = 0; number < PROCESS_COUNT; number++) setProcessState(model, number, 'resume')
  while (model.log.releaseLateAppend()) await runTurns(1)
  for (let step = 0; step < 10; step++) await model.clock.advance(500)
  for (let attempt = findOpenAttempt(model, 0); attempt; attempt = findOpenAttempt(model, 0)) sendAttempt(model, attempt, true)
  await model.clock.advance(1_000)
  const asked = model.attempts.length
  for (const process of model.processes) {
    for (const key of KEYS) {
      startClaim(model, process, key, 'same')
      for (let step = 0; step < 4; step++) await model.clock.advance(50)
      const last = model.attempts.at(-1)!
      if (last.claim) sendAttempt(model, last, true)
    }
  }
  await model.clock.advance(DEADLINE_MS * 2)
  return model.attempts.slice(asked)
}

/** Judges by the ledger of the target alone. */
function checkLedger (model: Model): void {
  const lastRunMs = new Map<string, number>()
  for (const { attempt, atMs } of model.ledger) {
    const beforeMs = lastRunMs.get(attempt.key)
    if (beforeMs !== undefined && atMs - beforeMs < MODEL_WINDOW_MS) model.faults.push(`key ${attempt.key} ran at ${beforeMs} ms and at ${atMs} ms`)
    lastRunMs.set(attempt.key, atMs)
    if (attempt.verdict !== 'admitted' || attempt.isVoided) model.faults.push(`attempt ${attempt.id} was told not-run and ran`)
  }
  for (const attempt of model.attempts) {
    if (attempt.verdict === undefined && attempt.process.state === 'running') model.faults.push(`attempt ${attempt.id} got no verdict`)
  }
}

/** Checks that, with every fault over, nothing is refused or held up without a reason. */
function checkProgress (model: Model, asked: readonly Attempt[], steps: readonly Step[]): void {
  const hasStep = (name: Step['do']): boolean => steps.some((step) => step.do === name)
  for (const attempt of asked) {
    if (attempt.verdict === 'platform-down' && !hasStep('drop-oldest')) model.faults.push(`attempt ${attempt.id} was refused though all works`)
    const isUnanswered = model.ledger.some((run) => run.attempt.key === attempt.key && !run.isAnswered)
    if (attempt.verdict === 'elsewhere' && !isUnanswered && !hasStep('crash')) model.faults.push(`attempt ${attempt.id} was held up by a claim that nobody holds`)
  }
}

/** Runs a history with a strategy and returns what the judge found. */
export async function runHistory (strategy: Strategy, steps: readonly Step[]): Promise<HistoryReport> {
  const model = createModel(strategy)
  await runTurns(10)
  for (const step of steps) await applyStep(model, step)
  const asked = await settleModel(model)
  checkLedger(model)
  checkProgress(model, asked, steps)
  for (const { gate } of model.processes) gate.kill()
  const count = (verdicts: string[]): number => model.attempts.filter(({ verdict }) => verdict && verdicts.includes(verdict)).length
  return {
    attempts: model.attempts.length,
    admitted: count(['admitted']),
    runs: model.ledger.length,
    repeated: count(['repeated']),
    notRun: count(['platform-down', 'deadline-passed', 'key-reused']),
    faults: model.faults
  }
}
