/**
 * Probes the targets that answers do not describe, within this process's part of the contract's measuring budget.
 */
import type { Clock } from '../../clock.ts'
import { createSpendBudget } from '../../request/balancing/spend-budget.ts'
import type { ContractTarget, ServiceContract } from '../../version/contract.ts'

type MeasuringContract = ServiceContract['measuring']

/** What a probe found. */
export type ProbeResult =
  /** The health endpoint answered on a new connection and did not speak of leaving. */
  | { kind: 'ready' }
  | { kind: 'leaving' }
  /** No connection could be made. */
  | { kind: 'unreachable' }
  /** A connection was made, but no answer came in time. */
  | { kind: 'silent' }

/** Sends one probe to the health endpoint of a target on a new connection, and closes it. Never rejects. */
export type SendProbe = (target: ContractTarget, options: { path: string, timeoutMs: number, signal: AbortSignal }) => Promise<ProbeResult>

/** What a prober needs. */
export interface ProberOptions {
  clock: Clock
  measuring: MeasuringContract
  /** The largest number of entry processes by the contract. */
  largestEntries: number
  sendProbe: SendProbe
  /** Returns the target that most needs a probe now, or undefined. It is asked again after each probe begun. */
  findNext: () => ContractTarget | undefined
  /** Told when a probe begins, after it was charged. */
  start: (target: ContractTarget) => void
  /** Told what a probe found. */
  settle: (target: ContractTarget, result: ProbeResult) => void
}

/** A running prober. */
export interface TargetProber {
  update(measuring: MeasuringContract, largestEntries: number): void
  report(): { probes: number, probeCostMs: number }
  stop(): void
}

const PROBE_CHECK_MS = 1_000
const PROBE_TIMEOUT_MS = 2_000
const LARGEST_SAVED_S = 5

/** Computes what a probe costs a target, with its new connection, in ms of server time. */
export function computeProbeCost (measuring: MeasuringContract): number {
  return measuring.probeCostMs + measuring.connectCostMs
}

/** Computes the part of the budget of one process, so that the sum holds whoever is believed to be live. */
function computeIncome (measuring: MeasuringContract, largestEntries: number): { perSecondMs: number, largestMs: number } {
  const perSecondMs = measuring.budgetMsPerSecond / largestEntries
  return { perSecondMs, largestMs: Math.max(computeProbeCost(measuring), perSecondMs * LARGEST_SAVED_S) }
}

/** Starts a prober; it runs until it is stopped. */
export function startTargetProber (options: ProberOptions): TargetProber {
  const { clock } = options
  let measuring = options.measuring
  const budget = createSpendBudget({ ...computeIncome(measuring, options.largestEntries), nowMs: clock.monotonicMs() })
  const stopped = new AbortController()
  let probes = 0

  const runProbe = async (target: ContractTarget): Promise<void> => {
    const result = await options.sendProbe(target, { path: measuring.probePath, timeoutMs: PROBE_TIMEOUT_MS, signal: stopped.signal })
    if (!stopped.signal.aborted) options.settle(target, result)
  }
  const startDueProbes = (): void => {
    for (let target = options.findNext(); target; target = options.findNext()) {
      if (!budget.charge(computeProbeCost(measuring), clock.monotonicMs())) return
      probes += 1
      options.start(target)
      runProbe(target).catch(() => {})
    }
  }
  const runProber = async (): Promise<void> => {
    while (!stopped.signal.aborted) {
      startDueProbes()
      await clock.wait(PROBE_CHECK_MS, stopped.signal)
    }
  }
  runProber().catch(() => {})

  return {
    update (nextMeasuring, largestEntries) {
      measuring = nextMeasuring
      const income = computeIncome(measuring, largestEntries)
      budget.update(income.perSecondMs, income.largestMs, clock.monotonicMs())
    },
    report: () => ({ probes, probeCostMs: budget.getSpentMs() }),
    stop: () => stopped.abort()
  }
}
