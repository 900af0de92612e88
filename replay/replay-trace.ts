/**
 * Replays a trace by each policy in turn, starting new processes for each, and checks the results.
 */
import { createCaller } from './caller.ts'
import { createDeployment } from './deployment.ts'
import { checkInvariants, computeMeasuringCost, readTargetRecords } from './check-invariants.ts'
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

/** Options of `replayTrace`. */
export interface ReplayOptions {
  trace: Trace
  outcomes: Outcomes
  /** Policies to replay by, one after the other. */
  policies: readonly Policy[]
  /** The folder that holds `samples/`. */
  root: string
  files: ProgramFiles
  network: string
  /** Returns numbers from 0 to below 1, for the baselines. */
  random: () => number
  /** Called when the replay by a policy starts. */
  handleProgress?: (policy: Policy) => void
}

/** Reports of the policies, and the results of the outcomes file. Written to the report. */
export interface ReplayResult { reports: PolicyReport[], results: OutcomeResult[] }

/** The trace as one policy played it, with the report. */
export interface PolicyRun { played: PlayedTrace, report: PolicyReport }

/**
 * Plays a trace through the entries of a running system and checks the invariants. `startedMs` is when the system
 * started, by `performance.now()`.
 */
export async function replayThroughEntries (trace: Trace, system: System, startedMs: number): Promise<PolicyRun> {
  const { deployment } = system
  const played = await runTrace({
    trace,
    system,
    hasEntries: true,
    createCaller: (id, onlyEntry) => createCaller({ id, onlyEntry, customer: deployment.customer, entries: deployment.entries })
  })
  const targetRecords = await readTargetRecords(deployment.targets)
  const elapsedMs = performance.now() - startedMs
  const costs = Object.entries(deployment.services).map(([service, { measuring }]) => computeMeasuringCost(service, measuring, targetRecords, elapsedMs))
  const stoppedEntries = new Set(trace.faults.filter(({ what }) => what === 'stop').map(({ where }) => where))
  const exitCodes = Object.fromEntries(await Promise.all([...stoppedEntries].map(async (id) => [id, await system.getProgram(id)?.waitForExit()] as const)))
  return { played, report: buildPolicyReport('entry', played, costs, checkInvariants({ trace: played, targetRecords, costs, exitCodes })) }
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
    maxTargetsPerService: outcomes.targetsPerService
  })
  const system = await startSystem({ deployment, files, workMs: outcomes.workMs })
  try {
    return policy === 'entry' ? await runEntries(options, system) : await runBaseline(options, system, policy)
  } finally {
    await system.stop()
  }
}

/** Replays a trace by each policy and compares the results with the expected outcomes. */
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
