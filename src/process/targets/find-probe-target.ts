/**
 * Selects the next target for a health probe. Targets that recent responses already describe are not probed.
 */
import type { TargetRecord } from './target-record.ts'

/** Why a target is probed, the most urgent reason first. */
const REASONS = ['may-be-leaving', 'new', 'ejected', 'silent', 'leaving'] as const
type ProbeReason = typeof REASONS[number]

/** A target without a response for this long is probed. */
const SILENT_MS = 5_000
/** Time between two probes of one target. */
const MIN_PROBE_INTERVAL_MS: Record<ProbeReason, number> = {
  'may-be-leaving': 1_000,
  new: 1_000,
  ejected: 1_000,
  silent: 10_000,
  leaving: 10_000
}

/** Returns why a target needs a probe now, or undefined. */
function findReason (record: TargetRecord, nowMs: number): ProbeReason | undefined {
  switch (record.state.kind) {
    case 'leaving': return 'leaving'
    case 'ejected': return record.trial.hasReadyProbe || nowMs < record.trial.nextAtMs ? undefined : 'ejected'
    case 'cold': return record.lastResponseAtMs < record.state.sinceMs ? 'new' : findOpenTargetReason(record, nowMs)
    case 'serving': return findOpenTargetReason(record, nowMs)
  }
}

/** Returns why a target that takes new work needs a probe now, or undefined. */
function findOpenTargetReason (record: TargetRecord, nowMs: number): ProbeReason | undefined {
  const hasRecentResponse = nowMs - record.lastResponseAtMs < SILENT_MS
  if (record.wasUnreachable || (record.listing.state === 'dropped' && !hasRecentResponse)) return 'may-be-leaving'
  return hasRecentResponse ? undefined : 'silent'
}

/** Returns the target that most needs a probe: by the most urgent reason, then by the longest time since its last probe. */
export function findProbeTarget (records: Iterable<TargetRecord>, nowMs: number): TargetRecord | undefined {
  let best: TargetRecord | undefined
  let bestRank: number = REASONS.length
  for (const record of records) {
    if (record.isProbing) continue
    const reason = findReason(record, nowMs)
    if (reason === undefined || nowMs - record.lastProbeAtMs < MIN_PROBE_INTERVAL_MS[reason]) continue
    const rank = REASONS.indexOf(reason)
    if (rank > bestRank || (rank === bestRank && best && best.lastProbeAtMs <= record.lastProbeAtMs)) continue
    best = record
    bestRank = rank
  }
  return best
}
