/**
 * Bench of target selection in simulated time: tail latency by policy under slowdowns, behaviour under overload, and
 * the cost of probing. All figures of a row come from the same runs, and all policies of a case get the same arrivals and
 * faults, so that their ratios can be compared.
 */
import { BASE_SCENARIO, runScenario } from './targets-scenario.ts'
import type { Scenario, ScenarioResult } from './targets-scenario.ts'
import type { BenchPolicy } from './targets-balancers.ts'

/** Options for the bench. */
export interface TargetBenchOptions {
  /** Number of seeds for each row; the figures are means over the seeds. Default 2. */
  seedCount?: number
  /** Measured time of a run with 30 servers or more, in simulated ms; smaller services run three times as long. Default 20,000. */
  durationMs?: number
  /** Runs only the cases whose name contains this text. Default: all. */
  only?: string
  /** Called with each line of the table. */
  print: (line: string) => void
}

/** Results of one policy in one case, as means over the seeds. */
type Summary = ScenarioResult & { policy: BenchPolicy }

/** Longer than any run, so that no request is hedged. */
const NEVER_MS = 1e9
const SLOWDOWN_150_MS = { factor: 6, durationMs: 150, everyMs: 3_000, byZone: false }
const SLOWDOWN_300_MS = { ...SLOWDOWN_150_MS, durationMs: 300 }
const COMPARED_POLICIES: readonly BenchPolicy[] = ['product', 'all-knowing', 'least-in-flight', 'latency-weighted', 'two-choices', 'round-robin', 'random']
const LARGE_SERVICE_SERVERS = 30

const CASES: { name: string, changes: Partial<Scenario> }[] = [
  { name: '30 servers, load 0.5, slow 150 ms', changes: {} },
  { name: '30 servers, load 0.75, slow 150 ms', changes: { load: 0.75 } },
  { name: '30 servers, load 0.5, slow 300 ms', changes: { slowdowns: SLOWDOWN_300_MS } },
  { name: '30 servers, load 0.75, 40% of callers at one entry', changes: { load: 0.75, firstEntryShare: 0.4 } },
  { name: '30 servers, load 0.5, zones slow 300 ms', changes: { slowdowns: { ...SLOWDOWN_300_MS, byZone: true } } },
  { name: '30 servers, load 0.5, hedges take the same work', changes: { isWorkFixedPerRequest: true } },
  { name: '30 servers, load 0.5, one fails fast', changes: { failingServerCount: 1 } },
  { name: '8 servers, load 0.75, slow 150 ms', changes: { serverCount: 8, load: 0.75 } },
  { name: '6 servers, load 0.5, slow 150 ms', changes: { serverCount: 6, zoneCount: 3 } },
  { name: '6 servers, load 0.75, slow 150 ms', changes: { serverCount: 6, zoneCount: 3, load: 0.75 } },
  { name: '6 servers, load 0.5, slow 300 ms', changes: { serverCount: 6, zoneCount: 3, slowdowns: SLOWDOWN_300_MS } },
  { name: '6 servers, load 0.75, slow 300 ms', changes: { serverCount: 6, zoneCount: 3, load: 0.75, slowdowns: SLOWDOWN_300_MS } }
]

async function measurePolicy (scenario: Scenario, seeds: number): Promise<Summary> {
  const results: ScenarioResult[] = []
  for (let seed = 1; seed <= seeds; seed++) results.push(await runScenario({ ...scenario, seed: seed * 1000 }))
  const keys = Object.keys(results[0]!) as (keyof ScenarioResult)[]
  const means = Object.fromEntries(keys.map((key) => [key, results.reduce((sum, result) => sum + result[key], 0) / seeds]))
  return { ...means as unknown as ScenarioResult, policy: scenario.policy }
}

function formatSummary (name: string, summary: Summary, reference: Summary): string {
  const { p99Ms: p99, p999Ms: p999, hedgeShare, failedShare } = summary
  return `${name.padEnd(28)} p99 ${p99.toFixed(0).padStart(4)}  p99.9 ${p999.toFixed(0).padStart(4)}  ` +
    `p99.9 / all-knowing ${(p999 / reference.p999Ms).toFixed(2)}  hedges ${(hedgeShare * 100).toFixed(2)}%  errors ${(failedShare * 100).toFixed(2)}%`
}

/** Runs every case with every policy at equal hedge budgets, and with two of the policies without hedges. */
export async function runTargetBench (options: TargetBenchOptions): Promise<void> {
  const { seedCount: seeds = 2, durationMs = 20_000, only = '', print } = options
  for (const { name, changes } of CASES.filter((benchCase) => benchCase.name.includes(only))) {
    print(`-- ${name}`)
    const scenario = { ...BASE_SCENARIO, ...changes }
    scenario.durationMs = durationMs * (scenario.serverCount < LARGE_SERVICE_SERVERS ? 3 : 1)
    const reference = await measurePolicy({ ...scenario, policy: 'all-knowing' }, seeds)
    for (const policy of COMPARED_POLICIES) {
      const summary = policy === 'all-knowing' ? reference : await measurePolicy({ ...scenario, policy }, seeds)
      print(formatSummary(policy, summary, reference))
    }
    for (const policy of ['product', 'two-choices'] as const) {
      const summary = await measurePolicy({ ...scenario, policy, hedgeAfterMs: NEVER_MS }, seeds)
      print(formatSummary(`${policy}, no hedges`, summary, reference))
    }
  }
}

const OVERLOAD_LOADS = [0.8, 0.95, 1, 1.5, 2]
const OVERLOAD_MS = 15_000
const OVERLOAD_WARM_UP_MS = 4_000
const SLOTS_PER_SERVER = 4

/** Runs the product below and above capacity and prints the goodput as a share of the capacity, and the rejected requests. */
export async function runOverloadBench (print: (line: string) => void): Promise<void> {
  for (const servers of [LARGE_SERVICE_SERVERS, 6]) {
    for (const load of OVERLOAD_LOADS) {
      const scenario: Scenario = { ...BASE_SCENARIO, serverCount: servers, load, durationMs: OVERLOAD_MS, warmUpMs: OVERLOAD_WARM_UP_MS }
      const result = await runScenario(scenario)
      const succeeded = result.requestCount * (1 - result.failedShare - result.rejectedShare)
      const capacity = OVERLOAD_MS * servers * SLOTS_PER_SERVER / scenario.workMs
      print(`${servers} servers, load ${load}: goodput ${(succeeded / capacity).toFixed(3)} of capacity, ` +
        `rejected ${(result.rejectedShare * 100).toFixed(1)}%, p99.9 ${result.p999Ms.toFixed(0)} ms`)
    }
  }
}

const PROBING_BUDGET_SHARE = 0.001

/** Compares a probing budget of 0.1% of the time of all slots with one of ten times as much, under load and nearly idle. */
export async function runMeasuringBench (print: (line: string) => void): Promise<void> {
  for (const load of [0.5, 0.002]) {
    for (const factor of [1, 10]) {
      const { serverCount: servers } = BASE_SCENARIO
      const budgetMsPerSecond = servers * SLOTS_PER_SERVER * 1_000 * PROBING_BUDGET_SHARE * factor
      const measuring = { budgetMsPerSecond, probeCostMs: 6, connectCostMs: 1, probePath: '/health' }
      const result = await runScenario({ ...BASE_SCENARIO, load, isProbing: true, failingServerCount: 1, service: { measuring } })
      print(`load ${load}, budget ${(PROBING_BUDGET_SHARE * factor * 100).toFixed(1)}%: spent ${(result.probeShare * 100).toFixed(4)}%, ` +
        `p99.9 ${result.p999Ms.toFixed(0)} ms, errors ${(result.failedShare * 100).toFixed(2)}%`)
    }
  }
}
