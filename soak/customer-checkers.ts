/**
 * Checks of what customers, cold targets and evacuated zones are promised.
 */
import type { CheckResult, Evidence } from './evidence.ts'
import { describe, isExcused } from './evidence.ts'
import { BOUNDS } from './system.ts'

const MS_PER_SECOND = 1_000
/** Time from the acknowledgement of a configuration until it must be in effect, in ms. */
const CONFIGURATION_APPLY_MS = 2_000

/** Targets get the name of the customer that holds the key, and never a key; a request with an unknown key runs nowhere. */
export function checkCustomer ({ events, requests }: Evidence): CheckResult {
  const runs = events.filter((event) => event.type === 'run').filter(({ id }) => requests.get(id)?.customer !== undefined || requests.get(id)?.hasUnknownKey)
  const broken = runs.filter(({ id, customer, hasKey }) => hasKey || requests.get(id)?.hasUnknownKey || customer !== requests.get(id)?.customer)
  const shown = events.filter((event) => event.type === 'key-shown')
  return {
    name: 'customer',
    premiseCount: runs.length,
    broken: [...broken.map(({ id, target, customer }) => `${id} ran at ${target} for ${customer ?? 'nobody'}`), ...shown.map(({ entry }) => `entry ${entry} has written a key to its log`)]
  }
}

/**
 * Returns when what the operator wrote at `atMs` was written for good. What a restored store has lost counts from its second
 * writing, unless it had to be in effect, `applyMs` after the first one, before the store was away.
 */
function getWrittenAtMs ({ events }: Evidence, atMs: number, applyMs: number): number {
  const again = events.filter((event) => event.type === 'written-again').find(({ copiedAtMs, awayAtMs }) => atMs > copiedAtMs && atMs <= awayAtMs && awayAtMs < atMs + applyMs)
  return again?.atMs ?? atMs
}

/** A key that has been taken away serves nothing once that must be in effect. */
export function checkRevoked (evidence: Evidence): CheckResult {
  const revoked = evidence.events.filter((event) => event.type === 'revoked')
  const late = revoked.flatMap(({ customer, atMs }) => {
    const writtenAtMs = getWrittenAtMs(evidence, atMs, CONFIGURATION_APPLY_MS)
    return [...evidence.requests.values()].filter((request) =>
      request.customer === customer && request.atMs > writtenAtMs + CONFIGURATION_APPLY_MS && !isExcused(evidence, request.entry, writtenAtMs, request.atMs))
  })
  return { name: 'revoked', premiseCount: late.length, broken: late.filter(({ runs }) => runs.length > 0).map(describe) }
}

/** Returns the largest number of instants within a sliding window. `instants` are in order. */
function findMaxWithin (instants: readonly number[], windowMs: number): number {
  let max = 0
  let first = 0
  for (const [index, atMs] of instants.entries()) {
    while (atMs - instants[first]! >= windowMs) first += 1
    max = Math.max(max, index - first + 1)
  }
  return max
}

/** The requests of a customer that run in any window, summed over all entries, stay within its quota. */
export function checkQuota ({ events, requests }: Evidence): CheckResult {
  const { windowMs, share, slack } = BOUNDS.quotaTolerance
  const quotas = events.filter((event) => event.type === 'quota').filter(({ ratePerSecond }) => ratePerSecond > 0)
  const checked = quotas.map(({ customer, ratePerSecond, burst }) => {
    const instants = [...requests.values()].filter((request) => request.customer === customer && request.runs.length > 0).map(({ runs }) => runs[0]!.atMs)
    const allowed = (ratePerSecond * windowMs / MS_PER_SECOND + burst) * (1 + share) + slack
    const most = findMaxWithin(instants.sort((a, b) => a - b), windowMs)
    return { customer, allowed, most }
  })
  const denied = [...requests.values()].filter(({ customer, end }) => customer !== undefined && end?.kind === 'answered' && end.status === 429)
  return { name: 'quota', premiseCount: denied.length, broken: checked.filter(({ most, allowed }) => most > allowed).map(({ customer, most, allowed }) => `${customer}: ${most} within ${windowMs} ms; allowed ${allowed}`) }
}

/** A cold target gets no more in any second than it bears, summed over all entries. Counted is what was sent and ran while it was cold. */
export function checkCold ({ events, requests }: Evidence): CheckResult {
  const { factor, slack } = BOUNDS.coldTolerance
  const cold = events.filter((event) => event.type === 'cold')
  const runs = events.filter((event) => event.type === 'run')
  const checked = cold.map(({ target, atMs, untilMs, perSecond }) => {
    const instants = runs.filter((run) => run.target === target && run.atMs >= atMs && run.atMs < untilMs && (requests.get(run.id)?.atMs ?? 0) >= atMs).map((run) => run.atMs)
    return { target, allowed: perSecond * factor + slack, most: findMaxWithin(instants, MS_PER_SECOND) }
  })
  return { name: 'cold', premiseCount: checked.filter(({ most }) => most > 0).length, broken: checked.filter(({ most, allowed }) => most > allowed).map(({ target, most, allowed }) => `${target}: ${most} within a second; allowed ${allowed}`) }
}

/** Nothing reaches a zone while it is evacuated. */
export function checkEvacuated (evidence: Evidence): CheckResult {
  const evacuations = evidence.events.filter((event) => event.type === 'evacuated')
  const late = evacuations.flatMap(({ zone, atMs, untilMs }) => {
    const writtenAtMs = getWrittenAtMs(evidence, atMs, BOUNDS.evacuateMs)
    return evidence.events.filter((event) => event.type === 'run').filter((run) => {
      const entry = evidence.requests.get(run.id)?.entry
      return run.zone === zone && run.atMs > writtenAtMs + BOUNDS.evacuateMs && run.atMs < untilMs && entry !== undefined && !isExcused(evidence, entry, writtenAtMs, run.atMs, false)
    })
  })
  return { name: 'evacuated', premiseCount: evacuations.length, broken: late.map(({ id, target, zone }) => `${id} ran at ${target} in ${zone}`) }
}
