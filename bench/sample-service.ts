/**
 * The settings of a service in the contracts of the benches.
 */
/** Settings of a service without its targets and operations; the keys are those of a contract file. */
export const SAMPLE_SERVICE_SETTINGS = {
  slotsPerTarget: 4,
  connectionsPerTarget: 250,
  measuring: { budgetMsPerSecond: 10, probeCostMs: 6, connectCostMs: 1 },
  hedging: { afterMs: 90, budgetShare: 0.02 },
  retries: { budgetShare: 0.1, largestAttempts: 2 },
  ejectedShare: 0.3,
  queue: { longest: 20, longestWaitMs: 200 },
  coldRampMs: 1_000,
  shedSignal: { status: 503, header: 'x-shed' }
}
