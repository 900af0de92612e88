/**
 * Runs generated histories of claims over several processes and one log, and checks them against the requests that a
 * fake target received.
 */
import fc from 'fast-check'
import { createTestClock } from '../../src/clock.ts'
import type { Clock, TestClock } from '../../src/clock.ts'
import type { Claim, ClaimStore, StoredResponse } from '../../src/process/claims/claim-store.ts'
import { formatClaimStream } from '../../src/process/claims/log-claim-store.ts'
import type { LogClient } from '../../src/process/log-client.ts'
import { createAttempt, createTestStore, describeResult } from './claim-fixtures.ts'
import { createFakeLog } from './fake-log.ts'
import type { AppendFault, FakeLog, FakeLogClient } from './fake-log.ts'
import { createProcessGate } from './process-gate.ts'
import type { ProcessGate } from './process-gate.ts'

/** Claim window of every attempt in the model, in ms. */
export const MODEL_WINDOW_MS = 600_000
const RETENTION_MS = 400_000
const DEADLINE_MS = 5_000
const PROCESS_COUNT = 3
const KEYS = ['a', 'b']
const BODIES = ['same', 'same', 'same', 'other']
const STREAM = formatClaimStream(0)

/**
 * One step of a history. `pick` is the index of an unsent attempt, modulo their number. `foreign` appends a record that
 * cannot be decoded, `drop-oldest` removes all records of the stream but the last `keep`, `release-late` appends the
 * oldest delayed record, and `turn` runs the event loop `rounds` times.
 */
export type Step =
  | { do: 'claim', process: number, key: number, body: number }
  | { do: 'send', pick: number, hasResponse: boolean }
  | { do: 'cancel', pick: number }
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
const appendFaults: AppendFault[] = ['refused', 'answer-lost', 'late-lost', 'never-landed', 'doubled']

/** Generates one step; claims, sends and turns of the event loop are the most frequent. */
export const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  { weight: 10, arbitrary: fc.record({ do: fc.constant('claim' as const), process, key: fc.nat(KEYS.length - 1), body: fc.nat(BODIES.length - 1) }) },
  { weight: 6, arbitrary: fc.record({ do: fc.constant('send' as const), pick, hasResponse: fc.boolean() }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('cancel' as const), pick }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('pause' as const), process }) },
  { weight: 3, arbitrary: fc.record({ do: fc.constant('resume' as const), process }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('crash' as const), process }) },
  { weight: 4, arbitrary: fc.record({ do: fc.constant('fault' as const), process, fault: fc.constantFrom(...appendFaults) }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('outage' as const), isOut: fc.boolean() }) },
  { weight: 2, arbitrary: fc.constant({ do: 'release-late' as const }) },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('drop-oldest' as const), keep: fc.nat(6) }) },
  { weight: 1, arbitrary: fc.constant({ do: 'foreign' as const }) },
  { weight: 6, arbitrary: fc.record({ do: fc.constant('advance' as const), ms: fc.constantFrom(10, 100, 2_500, 6_000, 90_000, MODEL_WINDOW_MS / 2, MODEL_WINDOW_MS + 10_000) }) },
  { weight: 8, arbitrary: fc.record({ do: fc.constant('turn' as const), rounds: fc.integer({ min: 1, max: 6 }) }) }
)

/** The dependencies of a claim store under test. */
export interface StrategyParts { log: LogClient, clock: Clock, incarnation: string }
/** Creates the claim store under test; flawed ones show that the checks detect their violations. */
export type Strategy = (parts: StrategyParts) => ClaimStore

/** Creates the project's own claim store. */
export const createStoreStrategy: Strategy = ({ log, clock, incarnation }) =>
  createTestStore(log, clock, incarnation, { retentionMs: RETENTION_MS, maxWindowMs: MODEL_WINDOW_MS + DEADLINE_MS, pollMs: 60_000 })

/** An attempt as its caller sees it. `claim` is set once the attempt is admitted. */
interface Attempt {
  id: number
  process: ModelProcess
  key: string
  body: string
  resultKind?: string
  claim?: Claim
  isSent: boolean
  isCancelled: boolean
}

interface ModelProcess { store: ClaimStore, gate: ProcessGate, client: FakeLogClient, state: 'running' | 'paused' | 'dead' }

/** A request that the target received. */
interface TargetRun { attempt: Attempt, atMs: number, hasResponse: boolean }

/** Counts of one history, and the violations found. */
export interface HistoryReport { attempts: number, admitted: number, runs: number, repeated: number, notRun: number, violations: string[] }

interface Model {
  clock: TestClock
  log: FakeLog
  processes: ModelProcess[]
  attempts: Attempt[]
  targetRuns: TargetRun[]
  violations: string[]
  startProcess: () => ModelProcess
}

async function runEventLoop (rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round++) await new Promise<void>((resolve) => setImmediate(resolve))
}

function createModel (strategy: Strategy): Model {
  const clock = createTestClock()
  const log = createFakeLog({ clock })
  let startedCount = 0
  const startProcess = (): ModelProcess => {
    const gate = createProcessGate()
    const client = log.createClient(gate)
    const skewMs = [0, 20_000, -20_000][startedCount % 3]!
    const ownClock = { ...gate.createClock(clock), wallMs: () => clock.wallMs() + skewMs }
    const store = strategy({ log: client, clock: ownClock, incarnation: `incarnation-${startedCount++}` })
    return { store, gate, client, state: 'running' }
  }
  const processes = Array.from({ length: PROCESS_COUNT }, startProcess)
  return { clock, log, processes, attempts: [], targetRuns: [], violations: [], startProcess }
}

/** Checks that a stored response belongs to a request that was sent with the same key and body. */
function checkStoredResponse (model: Model, attempt: Attempt, response: StoredResponse): void {
  const source = model.attempts[Number(Buffer.from(response.body ?? []).toString())]
  if (!source?.isSent || source.key !== attempt.key || source.body !== attempt.body) model.violations.push(`attempt ${attempt.id} got the stored response of another request`)
}

async function claimKey (model: Model, process: ModelProcess, key: string, body: string): Promise<void> {
  const attempt: Attempt = { id: model.attempts.length, process, key, body, isSent: false, isCancelled: false }
  model.attempts.push(attempt)
  const result = await process.store.claimKey(createAttempt(model.clock, key, body, DEADLINE_MS, MODEL_WINDOW_MS))
  attempt.resultKind = describeResult(result)
  if (result.isErr()) return
  if (result.value.kind === 'admitted') attempt.claim = result.value.claim
  if (result.value.kind === 'repeated') checkStoredResponse(model, attempt, result.value.outcome)
}

/** Finds an admitted attempt, neither sent nor cancelled yet, of a process that is running. */
function findUnsentAttempt (model: Model, number: number): Attempt | undefined {
  const open = model.attempts.filter((one) => one.claim && !one.isSent && !one.isCancelled && one.process.state === 'running')
  return open[number % Math.max(1, open.length)]
}

function sendAttempt (model: Model, attempt: Attempt, hasResponse: boolean): void {
  if (attempt.claim?.canSend?.() === false) return cancelAttempt(attempt)
  attempt.isSent = true
  model.targetRuns.push({ attempt, atMs: model.clock.monotonicMs(), hasResponse })
  if (hasResponse) attempt.claim?.recordResponse({ status: 201, headers: {}, body: Buffer.from(String(attempt.id)) })
}

function cancelAttempt (attempt: Attempt): void {
  attempt.isCancelled = true
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

/** Claims a key without waiting for the result. */
function startClaim (model: Model, process: ModelProcess, key: string, body: string): void {
  if (process.state !== 'running') return
  claimKey(model, process, key, body).catch((error: unknown) => model.violations.push(String(error)))
}

function applyToAttempt (model: Model, step: Step & { do: 'send' | 'cancel' }): void {
  const attempt = findUnsentAttempt(model, step.pick)
  if (!attempt) return
  if (step.do === 'send') sendAttempt(model, attempt, step.hasResponse)
  else cancelAttempt(attempt)
}

async function applyStep (model: Model, step: Step): Promise<void> {
  switch (step.do) {
    case 'claim': return startClaim(model, model.processes[step.process]!, KEYS[step.key]!, BODIES[step.body]!)
    case 'send':
    case 'cancel': return applyToAttempt(model, step)
    case 'pause':
    case 'resume':
    case 'crash': return setProcessState(model, step.process, step.do)
    case 'fault': return model.processes[step.process]!.client.addAppendFaults(step.fault)
    case 'outage': return model.log.setOutage(step.isOut)
    case 'release-late': model.log.releaseLateAppend(); return
    case 'drop-oldest': return model.log.dropOldest([STREAM], step.keep)
    case 'foreign': model.log.store.appendRecord(STREAM, new Uint8Array([1, 2, 3])); return
    case 'advance': return model.clock.advance(step.ms)
    case 'turn': return runEventLoop(step.rounds)
  }
}

/** Ends every fault, appends the delayed records, and claims every key once more in every process; returns these attempts. */
async function settleModel (model: Model): Promise<Attempt[]> {
  model.log.setOutage(false)
  for (const { client } of model.processes) client.clearAppendFaults()
  for (let number = 0; number < PROCESS_COUNT; number++) setProcessState(model, number, 'resume')
  while (model.log.releaseLateAppend()) await runEventLoop(1)
  for (let step = 0; step < 10; step++) await model.clock.advance(500)
  for (let attempt = findUnsentAttempt(model, 0); attempt; attempt = findUnsentAttempt(model, 0)) sendAttempt(model, attempt, true)
  await model.clock.advance(1_000)
  const countBefore = model.attempts.length
  for (const process of model.processes) {
    for (const key of KEYS) {
      startClaim(model, process, key, 'same')
      for (let step = 0; step < 4; step++) await model.clock.advance(50)
      const last = model.attempts.at(-1)!
      if (last.claim) sendAttempt(model, last, true)
    }
  }
  await model.clock.advance(DEADLINE_MS * 2)
  return model.attempts.slice(countBefore)
}

/**
 * Checks that no key ran twice within its claim window, that no attempt reported as not run was sent, and that each
 * attempt of a running process got a result.
 */
function checkTargetRuns (model: Model): void {
  const lastRunMs = new Map<string, number>()
  for (const { attempt, atMs } of model.targetRuns) {
    const beforeMs = lastRunMs.get(attempt.key)
    if (beforeMs !== undefined && atMs - beforeMs < MODEL_WINDOW_MS) model.violations.push(`key ${attempt.key} ran at ${beforeMs} ms and at ${atMs} ms`)
    lastRunMs.set(attempt.key, atMs)
    if (attempt.resultKind !== 'admitted' || attempt.isCancelled) model.violations.push(`attempt ${attempt.id} was reported as not run, but was sent`)
  }
  for (const attempt of model.attempts) {
    if (attempt.resultKind === undefined && attempt.process.state === 'running') model.violations.push(`attempt ${attempt.id} got no result`)
  }
}

/** Checks that, after all faults have ended, no attempt is rejected or blocked without a reason. */
function checkProgress (model: Model, finalAttempts: readonly Attempt[], steps: readonly Step[]): void {
  const hasStep = (name: Step['do']): boolean => steps.some((step) => step.do === name)
  for (const attempt of finalAttempts) {
    if (attempt.resultKind === 'platform-down' && !hasStep('drop-oldest')) model.violations.push(`attempt ${attempt.id} was rejected although all faults had ended`)
    const isUnanswered = model.targetRuns.some((run) => run.attempt.key === attempt.key && !run.hasResponse)
    if (attempt.resultKind === 'elsewhere' && !isUnanswered && !hasStep('crash')) model.violations.push(`attempt ${attempt.id} was blocked by a claim that no attempt holds`)
  }
}

/** Runs a history with a strategy and returns its counts and violations. */
export async function runHistory (strategy: Strategy, steps: readonly Step[]): Promise<HistoryReport> {
  const model = createModel(strategy)
  await runEventLoop(10)
  for (const step of steps) await applyStep(model, step)
  const finalAttempts = await settleModel(model)
  checkTargetRuns(model)
  checkProgress(model, finalAttempts, steps)
  for (const { gate } of model.processes) gate.kill()
  const count = (kinds: string[]): number => model.attempts.filter(({ resultKind }) => resultKind && kinds.includes(resultKind)).length
  return {
    attempts: model.attempts.length,
    admitted: count(['admitted']),
    runs: model.targetRuns.length,
    repeated: count(['repeated']),
    notRun: count(['platform-down', 'deadline-passed', 'key-reused']),
    violations: model.violations
  }
}
