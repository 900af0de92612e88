/**
 * Sends health probes to targets that recent responses don't describe, within this process's share of the contract's
 * measuring budget.
 */
import type { Clock } from '../../clock.ts'
import { createSpendBudget } from '../../request/balancing/spend-budget.ts'
import type { ContractTarget, ServiceContract } from '../../version/contract.ts'

type MeasuringContract = ServiceContract['measuring']

/** Result of a health probe. */
export type HealthProbeResult =
  /** The health endpoint responded with status 200, and not that the target is leaving. */
  | { kind: 'ready' }
  /** The health endpoint responded that the target is leaving. */
  | { kind: 'leaving' }
  /** No connection could be made. */
  | { kind: 'unreachable' }
  /** A connection was made, but no complete response with status 200 came in time. */
  | { kind: 'silent' }

/** Sends one health probe to a target on a new connection, and closes it. Never rejects. */
export type SendHealthProbe = (target: ContractTarget, options: { path: string, timeoutMs: number, signal: AbortSignal }) => Promise<HealthProbeResult>

/** Options of a prober. */
export interface ProberOptions {
  clock: Clock
  measuring: MeasuringContract
  /** Maximum number of entry processes in the contract. */
  maxEntries: number
  sendProbe: SendHealthProbe
  /** Returns the target that most needs a probe now, or undefined. Called again after each probe that was started. */
  findNext: () => ContractTarget | undefined
  /** Called when a probe starts, after its cost was charged. */
  handleStart: (target: ContractTarget) => void
  /** Called with the result of a probe. */
  handleResult: (target: ContractTarget, result: HealthProbeResult) => void
}

/** A running prober. */
export interface TargetProber {
  /** Applies a new contract's measuring budget and maximum number of entry processes. */
  update(measuring: MeasuringContract, maxEntries: number): void
  /** Returns the probes sent and their cost in ms of server time; the keys are those of the status page. */
  report(): { probes: number, probeCostMs: number }
  stop(): void
}

const PROBE_CHECK_INTERVAL_MS = 1_000
const PROBE_TIMEOUT_MS = 2_000
/** Burst of the probe budget, as seconds of its refill rate. */
const MAX_BURST_S = 5

/** Computes the cost of a probe and its new connection to a target, in ms of server time. */
export function computeProbeCost (measuring: MeasuringContract): number {
  return measuring.probeCostMs + measuring.connectCostMs
}

/**
 * Computes the refill rate and burst of this process. The rate is the budget divided by the contract's maximum number of
 * entries, so that all entries together stay within the budget even when their views of the live entries differ.
 */
function computeRefill (measuring: MeasuringContract, maxEntries: number): { refillMsPerSecond: number, maxBalanceMs: number } {
  const refillMsPerSecond = measuring.budgetMsPerSecond / maxEntries
  return { refillMsPerSecond, maxBalanceMs: Math.max(computeProbeCost(measuring), refillMsPerSecond * MAX_BURST_S) }
}

/** Starts a prober, which runs until `stop` is called. */
export function startTargetProber (options: ProberOptions): TargetProber {
  const { clock } = options
  let measuring = options.measuring
  const budget = createSpendBudget({ ...computeRefill(measuring, options.maxEntries), nowMs: clock.monotonicMs() })
  const stopped = new AbortController()
  let probes = 0

  const runProbe = async (target: ContractTarget): Promise<void> => {
    const result = await options.sendProbe(target, { path: measuring.probePath, timeoutMs: PROBE_TIMEOUT_MS, signal: stopped.signal })
    if (!stopped.signal.aborted) options.handleResult(target, result)
  }
  const startDueProbes = (): void => {
    for (let target = options.findNext(); target; target = options.findNext()) {
      if (!budget.charge(computeProbeCost(measuring), clock.monotonicMs())) return
      probes += 1
      options.handleStart(target)
      runProbe(target).catch(() => {})
    }
  }
  const runProber = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      startDueProbes()
      await clock.wait(PROBE_CHECK_INTERVAL_MS, stopped.signal)
    }
  }
  runProber().catch(() => {})

  return {
    update (nextMeasuring, maxEntries) {
      measuring = nextMeasuring
      const refill = computeRefill(measuring, maxEntries)
      budget.update(refill.refillMsPerSecond, refill.maxBalanceMs, clock.monotonicMs())
    },
    report: () => ({ probes, probeCostMs: budget.getSpentMs() }),
    stop: () => stopped.abort()
  }
}
