/**
 * Marks targets as leaving and readmits them. A leaving target gets no new work until it is known to be a new process.
 * The platform's host list lags, so a `live` entry there readmits a target only after a long time.
 */
import type { HostState, TargetId } from '../../types.ts'
import { markReadmitted } from './target-health.ts'
import type { TargetRecord } from './target-record.ts'
import type { LeavingSource } from './target-set.ts'
import { recordTargetEvent } from './target-set-state.ts'
import type { TargetSetState } from './target-set-state.ts'

/** How long the host list must report a leaving target live without a break before it counts; well past the list's lag. */
const MIN_LISTED_LIVE_MS = 60_000

/** Marks a target as leaving. Does nothing when it is leaving already, or not served by this process. */
export function markLeaving (state: TargetSetState, id: TargetId, source: LeavingSource): void {
  const record = state.records.get(id)
  if (!record || record.state.kind === 'leaving') return
  const nowMs = state.options.clock.monotonicMs()
  record.state = { kind: 'leaving', sinceMs: nowMs }
  record.wasUnreachable = false
  record.listing.liveSinceAtMs = nowMs
  recordTargetEvent(state, { type: 'target-leaving', target: id, source })
  if (source !== 'peer') state.options.notifyLeaving?.(id, source)
}

/** Applies the complete host list. Targets that were never on it keep their state. */
export function applyHostList (state: TargetSetState, hosts: readonly { id: string, state: HostState }[]): void {
  const nowMs = state.options.clock.monotonicMs()
  const listed = new Map(hosts.map((host) => [host.id, host.state]))
  for (const record of state.records.values()) {
    const hostState = listed.get(record.target.id)
    applyListing(record, hostState, nowMs)
    if (hostState === 'leaving') markLeaving(state, record.target.id, 'host-list')
    if (hostState === 'live' && state.options.sendProbe === undefined) tryReadmit(state, record)
  }
}

function applyListing (record: TargetRecord, hostState: HostState | undefined, nowMs: number): void {
  const { listing } = record
  if (hostState === undefined) {
    if (listing.state !== 'never-listed') listing.state = 'dropped'
    return
  }
  if (hostState === 'live') {
    if (listing.state !== 'live') listing.liveSinceAtMs = nowMs
    listing.lastLiveAtMs = nowMs
  }
  listing.state = hostState
}

/** Returns whether the host list has reported a target live for long enough to trust it. */
function isStablyListed (record: TargetRecord): boolean {
  const { listing } = record
  return listing.state === 'live' && listing.lastLiveAtMs - listing.liveSinceAtMs >= MIN_LISTED_LIVE_MS
}

/**
 * Readmits a leaving target that is a new process by now: it stopped accepting connections and accepts them again, or
 * the host list has reported it live for long enough. Called after a `ready` probe; without probes, when the list
 * reports the target live.
 */
export function tryReadmit (state: TargetSetState, record: TargetRecord): void {
  if (record.state.kind !== 'leaving') return
  if (!record.wasUnreachable && !isStablyListed(record)) return
  markReadmitted(state, record, state.options.clock.monotonicMs())
}
