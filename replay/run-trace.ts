/**
 * Plays a trace through real processes: each request at its time, whatever came of the ones before.
 */
import { buildRequest } from './build-request.ts'
import type { ExpectedRequest } from './build-request.ts'
import type { Caller, CallerAnswer } from './caller.ts'
import type { TargetHost } from './deployment.ts'
import type { System } from './system.ts'
import type { Trace, TraceFault, TraceRequest } from './trace.ts'

/** A request of the trace with what came of it. */
export interface PlayedRequest {
  line: TraceRequest
  expected: ExpectedRequest
  answer: CallerAnswer
  /** Wall time when it was sent and when its answer was whole, in ms since 1970. */
  startedAtMs: number
  endedAtMs: number
  /** From the time that the trace states to the end of the answer, in ms. */
  latencyMs: number
}

/** A fault of the trace with when it was switched, in ms since 1970. */
export interface PlayedFault { line: TraceFault, atMs: number }

/** What came of a trace. */
export interface PlayedTrace {
  requests: PlayedRequest[]
  faults: PlayedFault[]
  /** Wall time of the start and the end, in ms since 1970. */
  startedAtMs: number
  endedAtMs: number
}

/** Returns the targets that a place of a fault names: `service/target`, `service/zone:zone` or `service/*`. */
export function findTargets (targets: readonly TargetHost[], where: string): TargetHost[] {
  const [service, name = ''] = where.split('/')
  const ofService = targets.filter((target) => target.service === service)
  if (name === '*') return ofService
  if (name.startsWith('zone:')) return ofService.filter(({ zone }) => zone === name.slice('zone:'.length))
  return ofService.filter(({ id }) => id === name)
}

async function applyControl (system: System, fault: TraceFault): Promise<void> {
  const control = fault.with ?? {}
  if (fault.where === 'log' || fault.where === 'host-list') return system.switchFaults(fault.where, control)
  const targets = findTargets(system.deployment.targets, fault.where)
  if (targets.length === 0) throw new Error(`A fault names "${fault.where}", which is no target.`)
  await Promise.all(targets.map((target) => system.switchFaults(target, control)))
}

/** Brings a fault about. */
async function applyFault (system: System, fault: TraceFault): Promise<void> {
  switch (fault.what) {
    case 'control': return applyControl(system, fault)
    case 'kill': return system.getProgram(fault.where)?.sendSignal('SIGKILL')
    case 'stop': return system.getProgram(fault.where)?.sendSignal('SIGTERM')
    case 'freeze': return system.getProgram(fault.where)?.sendSignal('SIGSTOP')
    case 'resume': return system.getProgram(fault.where)?.sendSignal('SIGCONT')
    case 'start':
      await system.getProgram(fault.where)?.waitForEnd()
      return system.startEntry(fault.where)
  }
}

/** What is played. */
export interface RunTraceOptions {
  trace: Trace
  system: System
  createCaller(id: string, onlyEntry: string | undefined): Caller
  /** Whether faults act on entries; a baseline has none. */
  hasEntries: boolean
}

interface TimedAction { time: number, run: () => Promise<void> }

/** Plays a trace; resolves when every answer is there. */
export async function runTrace (options: RunTraceOptions): Promise<PlayedTrace> {
  const { trace, system, hasEntries } = options
  const callers = new Map<string, Caller>()
  const getCaller = ({ caller: id, entry }: TraceRequest): Caller => {
    const name = `${id} ${entry ?? ''}`
    const found = callers.get(name) ?? options.createCaller(id, entry)
    callers.set(name, found)
    return found
  }
  const played: PlayedTrace = { requests: [], faults: [], startedAtMs: Date.now(), endedAtMs: 0 }
  const startMs = performance.now()
  const sendLine = async (line: TraceRequest, number: number): Promise<void> => {
    const expected = buildRequest(line, number, system.deployment.services)
    const startedAtMs = Date.now()
    const answer = await getCaller(line).send(expected.request)
    const latencyMs = performance.now() - startMs - line.time
    played.requests.push({ line, expected, answer, startedAtMs, endedAtMs: Date.now(), latencyMs })
  }
  const applyTimedFault = async (line: TraceFault): Promise<void> => {
    if (!hasEntries && line.what !== 'control') return
    played.faults.push({ line, atMs: Date.now() })
    await applyFault(system, line)
  }
  const actions: TimedAction[] = [
    ...trace.requests.map((line, number) => ({ time: line.time, run: () => sendLine(line, number) })),
    ...trace.faults.map((line) => ({ time: line.time, run: () => applyTimedFault(line) }))
  ].sort((a, b) => a.time - b.time)
  const pending: Promise<void>[] = []
  for (const { time, run } of actions) {
    const waitMs = startMs + time - performance.now()
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
    pending.push(run())
  }
  await Promise.all(pending)
  played.endedAtMs = Date.now()
  await Promise.all([...callers.values()].map((caller) => caller.close()))
  return played
}
