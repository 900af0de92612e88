/**
 * Which target most needs a probe: none that real answers already describe.
 */
import type { TargetRecord } from './target-record.ts'

/** Why a target is probed; the earlier, the more urgent. */
const REASONS = ['may-be-leaving', 'new', 'ejected', 'silent', 'leaving'] as const
type ProbeReason = typeof REASONS[number]

/** How long a target may be silent before it is probed, and the least time between two probes of one target. */
const SILENT_MS = 5_000
const LEAST_GAP_MS: Record<ProbeReason, number> = {
  'may-be-leaving': 1_000,
  new: 1_000,
  ejected: 1_000,
  silent: 10_000,
  leaving: 10_000
}

/** Finds why a target needs a probe now, or undefined. */
function findReason (record: TargetRecord, nowMs: number): ProbeReason | undefined {
  switch (record.state.kind) {
    case 'leaving': return 'leaving'
    case 'ejected': return record.trial.isConfirmed || nowMs < record.trial.nextMs ? undefined : 'ejected'
    case 'cold': return record.lastAnswerMs < record.state.sinceMs ? 'new' : findDoubt(record, nowMs)
    case 'serving': return findDoubt(record, nowMs)
  }
}

function findDoubt (record: TargetRecord, nowMs: number): ProbeReason | undefined {
  const isFresh = nowMs - record.lastAnswerMs < SILENT_MS
  if (record.wasUnreachable || (record.listing.state === 'dropped' && !isFresh)) return 'may-be-leaving'
  return isFresh ? undefined : 'silent'
}

/** Finds the target that most needs a probe: by reason, then the one not probed for longest. */
export function findProbeTarget (records: Iterable<TargetRecord>, nowMs: number): TargetRecord | undefined {
  let best: TargetRecord | undefined
  let bestRank: number = REASONS.length
  for (const record of records) {
    if (record.isProbing) continue
    const reason = findReason(record, nowMs)
    if (reason === undefined || nowMs - record.lastProbeMs < LEAST_GAP_MS[reason]) continue
    const rank = REASONS.indexOf(reason)
    if (rank > bestRank || (rank === bestRank && best && best.lastProbeMs <= record.lastProbeMs)) continue
    best = record
    bestRank = rank
  }
  return best
}
