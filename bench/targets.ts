/**
 * Bench of target choices: tail latency by policy under slow-downs, and what a choice costs. All figures of a row come
 * from one run; ratios compare policies that met the same arrivals and faults.
 */
import { BASE_SCENARIO, runScenario } from './targets-scenario.ts'
import type { Scenario, ScenarioResult } from './targets-scenario.ts'
import type { BenchPolicy } from './targets-balancers.ts'

/** Options of the bench. */
export interface TargetBenchOptions {
  /** Seeds for each row; percentiles are their means. Default 2. */
  seeds?: number
  /** Measured time of a run with 30 servers, in simulated ms; smaller services run longer. Default 20 000. */
  durationMs?: number
  /** Runs only the cases whose name holds this text. */
  only?: string
  /** Called with each finished row. */
  print: (line: string) => void
}

/** Means over the seeds of one policy in one case. */
type Summary = ScenarioResult & { policy: BenchPolicy }

const NEVER_MS = 1e9
const SLOW_150 = { factor: 6, durationMs: 150, everyMs: 3_000, byZone: false }
const SLOW_300 = { ...SLOW_150, durationMs: 300 }
const COMPARED: readonly BenchPolicy[] = ['product', 'all-knowing', 'least-in-flight', 'latency-weighted', 'two-choices', 'round-robin', 'random']
const LARGE_SERVICE = 30

const CASES: { name: string, changes: Partial<Scenario> }[] = [
  { name: '30 servers, load 0.5, slow 150 ms', changes: {} },
  { name: '30 servers, load 0.75, slow 150 ms', changes: { load: 0.75 } },
  { name: '30 servers, load 0.5, slow 300 ms', changes: { slow: SLOW_300 } },
  { name: '30 servers, load 0.75, 40% of callers at one entry', changes: { load: 0.75, firstEntryShare: 0.4 } },
  { name: '30 servers, load 0.5, zones slow 300 ms', changes: { slow: { ...SLOW_300, byZone: true } } },
  { name: '30 servers, load 0.5, hedges repeat the same work', changes: { isWorkOfRequest: true } },
  { name: '30 servers, load 0.5, one fails fast', changes: { failing: 1 } },
  { name: '8 servers, load 0.75, slow 150 ms', changes: { servers: 8, load: 0.75 } },
  { name: '6 servers, load 0.5, slow 150 ms', changes: { servers: 6, zones: 3 } },
  { name: '6 servers, load 0.75, slow 150 ms', changes: { servers: 6, zones: 3, load: 0.75 } },
  { name: '6 servers, load 0.5, slow 300 ms', changes: { servers: 6, zones: 3, slow: SLOW_300 } },
  { name: '6 servers, load 0.75, slow 300 ms', changes: { servers: 6, zones: 3, load: 0.75, slow: SLOW_300 } }
]

async function measurePolicy (scenario: Scenario, seeds: number): Promise<Summary> {
  const results: ScenarioResult[] = []
  for (let seed = 1; seed <= seeds; seed++) results.push(await runScenario({ ...scenario, seed: seed * 1000 }))
  const keys = Object.keys(results[0]!) as (keyof ScenarioResult)[]
  const means = Object.fromEntries(keys.map((key) => [key, results.reduce((sum, result) => sum + result[key], 0) / seeds]))
  return { ...means as unknown as ScenarioResult, policy: scenario.policy }
}

function formatSummary (name: string, summary: Summary, reference: Summary): string {
  const { p99, p999, hedgeShare, failedShare } = summary
  return `${name.padEnd(28)} p99 ${p99.toFixed(0).padStart(4)}  p99.9 ${p999.toFixed(0).padStart(4)}  ` +
    `p99.9 to all-knowing ${(p999 / reference.p999).toFixed(2)}  hedges ${(hedgeShare * 100).toFixed(2)}%  errors ${(failedShare * 100).toFixed(2)}%`
}

/** Runs every case with every policy, hedged with equal budgets, and two plain ones without hedges. */
export async function runTargetBench (options: TargetBenchOptions): Promise<void> {
  const { seeds = 2, durationMs = 20_000, only = '', print } = options
  for (const { name, changes } of CASES.filter((entry) => entry.name.includes(only))) {
    print(`-- ${name}`)
    const scenario = { ...BASE_SCENARIO, ...changes }
    scenario.durationMs = durationMs * (scenario.servers < LARGE_SERVICE ? 3 : 1)
    const reference = await measurePolicy({ ...scenario, policy: 'all-knowing' }, seeds)
    for (const policy of COMPARED) {
      const summary = policy === 'all-knowing' ? reference : await measurePolicy({ ...scenario, policy }, seeds)
      print(formatSummary(policy, summary, reference))
    }
    for (const policy of ['product', 'two-choices'] as const) {
      const summary = await measurePolicy({ ...scenario, policy, hedgeAfterMs: NEVER_MS }, seeds)
      print(formatSummary(`${policy}, no hedges`, summary, reference))
    }
  }
}

const OVERLOADS = [0.8, 0.95, 1, 1.5, 2]
const OVERLOAD_MS = 15_000
const OVERLOAD_WARM_UP_MS = 4_000
const SLOTS = 4

/** Runs the product below and above capacity: what is answered, as a share of all slots, and what is refused. */
export async function runOverloadBench (print: (line: string) => void): Promise<void> {
  for (const servers of [LARGE_SERVICE, 6]) {
    for (const load of OVERLOADS) {
      const scenario: Scenario = { ...BASE_SCENARIO, servers, load, durationMs: OVERLOAD_MS, warmUpMs: OVERLOAD_WARM_UP_MS }
      const result = await runScenario(scenario)
      const answered = result.requests * (1 - result.failedShare - result.refusedShare)
      const capacity = OVERLOAD_MS * servers * SLOTS / scenario.workMs
      print(`${servers} servers, load ${load}: answered ${(answered / capacity).toFixed(3)} of capacity, ` +
        `refused ${(result.refusedShare * 100).toFixed(1)}%, p99.9 ${result.p999.toFixed(0)} ms`)
    }
  }
}

const ONE_IN_THOUSAND = 0.001

/** Compares a measuring budget of 0.1% of all server time with one of ten times as much, under traffic and nearly without. */
export async function runMeasuringBench (print: (line: string) => void): Promise<void> {
  for (const load of [0.5, 0.002]) {
    for (const factor of [1, 10]) {
      const { servers } = BASE_SCENARIO
      const budgetMsPerSecond = servers * SLOTS * 1_000 * ONE_IN_THOUSAND * factor
      const measuring = { budgetMsPerSecond, probeCostMs: 6, connectCostMs: 1, probePath: '/health' }
      const result = await runScenario({ ...BASE_SCENARIO, load, isProbing: true, failing: 1, service: { measuring } })
      print(`load ${load}, budget ${(ONE_IN_THOUSAND * factor * 100).toFixed(1)}%: spent ${(result.probeShare * 100).toFixed(4)}%, ` +
        `p99.9 ${result.p999.toFixed(0)} ms, errors ${(result.failedShare * 100).toFixed(2)}%`)
    }
  }
}
