/**
 * Plays a trace through real processes. Each request is sent at its time in the trace, whether or not earlier ones have
 * ended.
 */
import { buildRequest } from './build-request.ts'
import type { ExpectedRequest } from './build-request.ts'
import type { Caller, CallerResponse } from './caller.ts'
import type { TargetHost } from './deployment.ts'
import type { System } from './system.ts'
import type { Trace, TraceFault, TraceRequest } from './trace.ts'

/** A request of the trace with its response. */
export interface PlayedRequest {
  line: TraceRequest
  expected: ExpectedRequest
  response: CallerResponse
  /** Wall-clock time when it was sent, in ms since 1970. */
  startedAtMs: number
  /** Wall-clock time when its response was complete or its last attempt had failed, in ms since 1970. */
  endedAtMs: number
  /** Time from the time of the trace line to the end of the response, in ms; includes the delay of a late start. */
  latencyMs: number
}

/** A fault of the trace with the wall-clock time when it was applied, in ms since 1970. */
export interface PlayedFault { line: TraceFault, atMs: number }

/** A played trace with its responses and applied faults. */
export interface PlayedTrace {
  requests: PlayedRequest[]
  faults: PlayedFault[]
  /** Wall-clock time of the start, in ms since 1970. */
  startedAtMs: number
  /** Wall-clock time of the end, in ms since 1970. */
  endedAtMs: number
}

/** Returns the targets that `where` of a fault names: `service/target`, `service/zone:zone` or `service/*`. */
export function findTargets (targets: readonly TargetHost[], where: string): TargetHost[] {
  const [service, name = ''] = where.split('/')
  const serviceTargets = targets.filter((target) => target.service === service)
  if (name === '*') return serviceTargets
  if (name.startsWith('zone:')) return serviceTargets.filter(({ zone }) => zone === name.slice('zone:'.length))
  return serviceTargets.filter(({ id }) => id === name)
}

async function applyControl (system: System, fault: TraceFault): Promise<void> {
  const control = fault.with ?? {}
  if (fault.where === 'log' || fault.where === 'host-list') return system.setFaults(fault.where, control)
  const targets = findTargets(system.deployment.targets, fault.where)
  if (targets.length === 0) throw new Error(`A fault names "${fault.where}", which matches no target.`)
  await Promise.all(targets.map((target) => system.setFaults(target, control)))
}

/** Applies a fault to a stand-in or an entry. */
async function applyFault (system: System, fault: TraceFault): Promise<void> {
  switch (fault.what) {
    case 'control': return applyControl(system, fault)
    case 'kill': return system.getProgram(fault.where)?.sendSignal('SIGKILL')
    case 'stop': return system.getProgram(fault.where)?.sendSignal('SIGTERM')
    case 'freeze': return system.getProgram(fault.where)?.sendSignal('SIGSTOP')
    case 'resume': return system.getProgram(fault.where)?.sendSignal('SIGCONT')
    case 'start':
      await system.getProgram(fault.where)?.waitForExit()
      return system.startEntry(fault.where)
  }
}

/** Options of `runTrace`. */
export interface RunTraceOptions {
  trace: Trace
  system: System
  /** Creates the caller of a request; `onlyEntry` is the only entry it may use, if any. */
  createCaller(id: string, onlyEntry: string | undefined): Caller
  /** Whether there are entries for faults to act on; a baseline has none. */
  hasEntries: boolean
}

interface TimedAction { time: number, run: () => Promise<void> }

/** Plays a trace; resolves when every request has ended. */
export async function runTrace (options: RunTraceOptions): Promise<PlayedTrace> {
  const { trace, system, hasEntries } = options
  const callers = new Map<string, Caller>()
  const getCaller = ({ caller: id, entry }: TraceRequest): Caller => {
    const key = `${id} ${entry ?? ''}`
    const caller = callers.get(key) ?? options.createCaller(id, entry)
    callers.set(key, caller)
    return caller
  }
  const played: PlayedTrace = { requests: [], faults: [], startedAtMs: Date.now(), endedAtMs: 0 }
  const startMs = performance.now()
  const sendRequest = async (line: TraceRequest, index: number): Promise<void> => {
    const expected = buildRequest(line, index, system.deployment.services)
    const startedAtMs = Date.now()
    const response = await getCaller(line).send(expected.request)
    const latencyMs = performance.now() - startMs - line.time
    played.requests.push({ line, expected, response, startedAtMs, endedAtMs: Date.now(), latencyMs })
  }
  const applyTimedFault = async (line: TraceFault): Promise<void> => {
    if (!hasEntries && line.what !== 'control') return
    played.faults.push({ line, atMs: Date.now() })
    await applyFault(system, line)
  }
  const actions: TimedAction[] = [
    ...trace.requests.map((line, index) => ({ time: line.time, run: () => sendRequest(line, index) })),
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
