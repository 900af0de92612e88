/**
 * Replays a trace by each policy in turn, with processes of its own for each, and judges what came of it.
 */
import { createCaller } from './caller.ts'
import { createDeployment } from './deployment.ts'
import { checkInvariants, computeMeasuringCost, readNotes } from './judge.ts'
import type { Outcomes } from './outcomes.ts'
import { createDirectCallers } from './policies.ts'
import type { DirectPolicy, Policy } from './policies.ts'
import { buildPolicyReport, compareOutcomes } from './report.ts'
import type { OutcomeResult, PolicyReport } from './report.ts'
import { runTrace } from './run-trace.ts'
import type { PlayedTrace } from './run-trace.ts'
import { startSystem } from './system.ts'
import type { ProgramFiles, System } from './system.ts'
import type { Trace } from './trace.ts'

/** How to replay. */
export interface ReplayOptions {
  trace: Trace
  outcomes: Outcomes
  /** Played one after the other. */
  policies: readonly Policy[]
  /** The folder that holds `samples/`. */
  root: string
  files: ProgramFiles
  network: string
  random: () => number
  /** Called when a policy begins. */
  handleProgress?: (policy: Policy) => void
}

/** What a replay came to. */
export interface ReplayResult { reports: PolicyReport[], results: OutcomeResult[] }

/** A trace that one policy played. */
export interface PolicyRun { played: PlayedTrace, report: PolicyReport }

/** Plays a trace through the entries of a running system and judges what came of it; `startedMs` is when the system started. */
export async function replayThroughEntries (trace: Trace, system: System, startedMs: number): Promise<PolicyRun> {
  const { deployment } = system
  const played = await runTrace({
    trace,
    system,
    hasEntries: true,
    createCaller: (id, onlyEntry) => createCaller({ id, onlyEntry, customer: deployment.customer, entries: deployment.entries })
  })
  const notes = await readNotes(deployment.targets)
  const elapsedMs = performance.now() - startedMs
  const costs = Object.entries(deployment.services).map(([service, { measuring }]) => computeMeasuringCost(service, measuring, notes, elapsedMs))
  const stopped = new Set(trace.faults.filter(({ what }) => what === 'stop').map(({ where }) => where))
  const exitCodes = Object.fromEntries(await Promise.all([...stopped].map(async (id) => [id, await system.getProgram(id)?.waitForEnd()] as const)))
  return { played, report: buildPolicyReport('entry', played, costs, checkInvariants({ trace: played, notes, costs, exitCodes })) }
}

async function runEntries (options: ReplayOptions, system: System): Promise<PolicyRun> {
  const startedMs = performance.now()
  await system.startEntries()
  await system.publishContract()
  return replayThroughEntries(options.trace, system, startedMs)
}

async function runBaseline (options: ReplayOptions, system: System, policy: DirectPolicy): Promise<PolicyRun> {
  const { deployment } = system
  const callers = createDirectCallers({ policy, targets: deployment.targets, entryCount: deployment.entries.length, random: options.random })
  const played = await runTrace({ trace: options.trace, system, hasEntries: false, createCaller: callers.createCaller })
  await callers.close()
  return { played, report: buildPolicyReport(policy, played, [], []) }
}

async function runPolicy (options: ReplayOptions, policy: Policy): Promise<PolicyRun> {
  const { outcomes, root, network, files } = options
  const deployment = createDeployment({
    sample: outcomes.sample,
    root,
    network,
    entryCount: outcomes.entries,
    targetCount: outcomes.targetsPerService
  })
  const system = await startSystem({ deployment, files, workMs: outcomes.workMs })
  try {
    return policy === 'entry' ? await runEntries(options, system) : await runBaseline(options, system, policy)
  } finally {
    await system.stop()
  }
}

/** Replays a trace and compares it with its outcomes. */
export async function replayTrace (options: ReplayOptions): Promise<ReplayResult> {
  const reports: PolicyReport[] = []
  const played = new Map<Policy, PlayedTrace>()
  for (const policy of options.policies) {
    options.handleProgress?.(policy)
    const run = await runPolicy(options, policy)
    played.set(policy, run.played)
    reports.push(run.report)
  }
  return { reports, results: compareOutcomes(options.outcomes, played) }
}
