/**
 * The answer to callers that ask which entries to use.
 */
import { createHash } from 'node:crypto'
import type { EntryId, ZoneId } from '../../types.ts'
import type { PeerView } from './peer-mesh.ts'

/** What decides the order. */
export interface AddressOrderOptions {
  entries: readonly PeerView[]
  /** Zone of the caller; left out when it is not known. */
  callerZone: ZoneId | undefined
  /** Names the caller; the same caller gets the same order while the entries stay. */
  callerId: string
  /** How long the caller may keep the answer, in ms. */
  lifetimeMs: number
}

/** An entry that a caller may use. */
export interface EntryAddress { id: EntryId, zone: ZoneId, address: string, port: number }

/** Entries in the order in which a caller should try them. */
export interface AddressAnswer { addresses: EntryAddress[], lifetimeMs: number }

const RANK_DIGITS = 16

/** Ranks an entry for a caller; callers spread evenly, and losing an entry moves only its own callers. */
function computeRank (callerId: string, entry: EntryId): string {
  return createHash('sha256').update(JSON.stringify([callerId, entry])).digest('hex').slice(0, RANK_DIGITS)
}

/** Whether an entry is live and has told its contract offset, which it does once it serves; the one that answers is taken to serve. */
export function canServe (entry: PeerView): boolean {
  return entry.state === 'live' && (entry.isSelf || entry.contractOffset >= 0)
}

/** When more than this share of the entries is busy, the load is everywhere and none is left out. */
const MAX_BUSY_SHARE = 1 / 3

/** Leaves out the entries that are too busy, when enough others are not. */
export function dropBusy (entries: readonly PeerView[]): PeerView[] {
  const notBusy = entries.filter(({ isBusy }) => !isBusy)
  return entries.length - notBusy.length <= entries.length * MAX_BUSY_SHARE ? notBusy : [...entries]
}

/** Lists the entries that are to be answered: the serving ones, else those that may yet be reached. */
function listUsable (entries: readonly PeerView[]): PeerView[] {
  const serving = entries.filter(canServe)
  if (serving.length > 0) return serving
  const live = entries.filter((entry) => entry.state === 'live')
  if (live.length > 0) return live
  return entries.filter((entry) => entry.state === 'suspect')
}

/** Orders the live entries for a caller: its own zone first, then by a hash of caller and entry. */
export function orderAddresses (options: AddressOrderOptions): AddressAnswer {
  const { entries, callerZone, callerId, lifetimeMs } = options
  const ranked = listUsable(entries).map((entry) => ({
    entry,
    isNear: entry.zone === callerZone,
    rank: computeRank(callerId, entry.id)
  }))
  ranked.sort((a, b) => Number(b.isNear) - Number(a.isNear) || (a.rank < b.rank ? -1 : 1))
  const addresses = ranked.map(({ entry }) => ({ id: entry.id, zone: entry.zone, address: entry.address, port: entry.port }))
  return { addresses, lifetimeMs }
}
