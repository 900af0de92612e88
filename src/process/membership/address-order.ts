/**
 * Selects and orders the entry addresses that a caller gets when it asks which entries to use.
 */
import { createHash } from 'node:crypto'
import type { EntryId, ZoneId } from '../../types.ts'
import type { PeerView } from './peer-mesh.ts'

/** Input of `orderAddresses`. */
export interface AddressOrderOptions {
  entries: readonly PeerView[]
  /** Zone of the caller; undefined when it is not known. */
  callerZone: ZoneId | undefined
  /** Identifies the caller; the same caller gets the same order while the set of entries is unchanged. */
  callerId: string
  /** How long the caller may cache the addresses, in ms. */
  lifetimeMs: number
}

/** Address of an entry that a caller may use. */
export interface EntryAddress { id: EntryId, zone: ZoneId, address: string, port: number }

/** Entry addresses in the order in which the caller should try them, and how long it may cache them. */
export interface AddressResponse { addresses: EntryAddress[], lifetimeMs: number }

const RANK_DIGITS = 16

/**
 * Computes the rank of an entry for a caller by rendezvous hashing: callers spread evenly over the entries, and the loss
 * of an entry moves only the callers that had it first.
 */
function computeRank (callerId: string, entry: EntryId): string {
  return createHash('sha256').update(JSON.stringify([callerId, entry])).digest('hex').slice(0, RANK_DIGITS)
}

/**
 * Returns whether an entry is live and serves requests. An entry reports its contract offset once it serves; the entry
 * itself (`isSelf`) always counts as serving.
 */
export function canServe (entry: PeerView): boolean {
  return entry.state === 'live' && (entry.isSelf || entry.contractOffset >= 0)
}

/** Lists the entries to offer: the serving ones; if there are none the live ones; if there are none the suspected ones. */
function listUsable (entries: readonly PeerView[]): PeerView[] {
  const serving = entries.filter(canServe)
  if (serving.length > 0) return serving
  const live = entries.filter((entry) => entry.state === 'live')
  if (live.length > 0) return live
  return entries.filter((entry) => entry.state === 'suspect')
}

/** Orders the usable entries for a caller: same-zone entries first, then by a hash of caller and entry. */
export function orderAddresses (options: AddressOrderOptions): AddressResponse {
  const { entries, callerZone, callerId, lifetimeMs } = options
  const ranked = listUsable(entries).map((entry) => ({
    entry,
    isSameZone: entry.zone === callerZone,
    rank: computeRank(callerId, entry.id)
  }))
  ranked.sort((a, b) => Number(b.isSameZone) - Number(a.isSameZone) || (a.rank < b.rank ? -1 : 1))
  const addresses = ranked.map(({ entry }) => ({ id: entry.id, zone: entry.zone, address: entry.address, port: entry.port }))
  return { addresses, lifetimeMs }
}
