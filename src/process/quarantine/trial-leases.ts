/**
 * Leases on the trials of suspected requests: at most one at a time for each request.
 */
import type { Clock } from '../../clock.ts'
import type { RequestFingerprint } from '../../request/request-fingerprint.ts'
import type { EntryId } from '../../types.ts'

/** The leases that this entry has granted. */
export interface TrialLeases {
  /** Grants the lease on a request for at most `forMs`; false while another is in effect. */
  tryGrant(request: RequestFingerprint, holder: EntryId, forMs: number): boolean
  /** Ends the lease of a holder. */
  release(request: RequestFingerprint, holder: EntryId): void
}

/** A lease ends by itself after this time at the latest, in ms, so that a lost holder blocks no request for long. */
const MAX_LEASE_MS = 30_000
/** Beyond this number, leases are granted without a record. */
const MAX_LEASES = 4_096

/** Creates an empty set of leases. */
export function createTrialLeases (clock: Clock): TrialLeases {
  const leases = new Map<RequestFingerprint, { holder: EntryId, expiresAtMs: number }>()
  const removeExpired = (): void => {
    for (const [request, { expiresAtMs }] of leases) if (expiresAtMs <= clock.monotonicMs()) leases.delete(request)
  }
  return {
    tryGrant (request, holder, forMs) {
      const nowMs = clock.monotonicMs()
      const known = leases.get(request)
      if (known && known.expiresAtMs > nowMs) return false
      if (leases.size >= MAX_LEASES) removeExpired()
      if (leases.size < MAX_LEASES) leases.set(request, { holder, expiresAtMs: nowMs + Math.min(forMs, MAX_LEASE_MS) })
      return true
    },
    release (request, holder) {
      if (leases.get(request)?.holder === holder) leases.delete(request)
    }
  }
}
