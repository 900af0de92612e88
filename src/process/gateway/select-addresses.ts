/**
 * Selects the entries that a caller is told to use. Callers choose among them at random, so that each one named gets an
 * equal share of the caller's requests; an entry of less capacity is named in fewer responses.
 */
import type { ZoneId } from '../../types.ts'
import type { MemberView } from '../gossip/gossip-membership.ts'
import { computeNamedCount, drawByCapacity } from './draw-by-capacity.ts'
import { shuffle } from '../gossip/probe-order.ts'

/** Input of `selectAddresses`. */
export interface AddressSelectionOptions {
  /** The entries that serve callers. */
  entries: readonly MemberView[]
  /** Zone of the caller; undefined when it is not known. */
  callerZone: ZoneId | undefined
  random: () => number
}

/** If more than this share of the entries is overloaded, the whole fleet is loaded and no entry is left out. */
const MAX_BUSY_SHARE = 1 / 3
/** Entries that are cut off from some services are left out as long as the others are at least this share, so that these can take the load. */
const MIN_CONNECTED_SHARE = 1 / 4
/** An address response names at most this number of entries. */
const MAX_ADDRESSES = 64

/**
 * Returns the entries that can serve: none that is cut off from all targets, unless all are, and none that is cut off from some
 * services, unless most are.
 */
function dropCutOff (entries: readonly MemberView[]): readonly MemberView[] {
  const serving = entries.filter(({ status }) => !status.isCutOff)
  const usable = serving.length > 0 ? serving : entries
  const connected = usable.filter(({ status }) => !status.isPartlyCutOff)
  return connected.length > 0 && connected.length >= usable.length * MIN_CONNECTED_SHARE ? connected : usable
}

/** Returns the entries without the overloaded ones, or all entries if too many are. */
function dropBusy (entries: readonly MemberView[]): MemberView[] {
  const notBusy = entries.filter(({ status }) => !status.isBusy)
  return entries.length - notBusy.length <= entries.length * MAX_BUSY_SHARE ? notBusy : [...entries]
}

/** Returns how many entries of other zones are named beside `named` of the `present` ones in the caller's zone, in the same ratio as if all were. */
function computeOthersLimit (present: number, named: number): number {
  const limit = Math.max(0, MAX_ADDRESSES - present)
  return present === 0 ? limit : Math.round(limit * named / present)
}

/** Selects entries of a fleet that is too large to be named whole. */
function selectOfMany (sameZone: readonly MemberView[], others: readonly MemberView[], random: () => number): MemberView[] {
  const sameZoneCount = computeNamedCount(sameZone, MAX_ADDRESSES)
  const othersLimit = computeOthersLimit(sameZone.length, sameZoneCount)
  const othersCount = sameZone.length === 0 ? computeNamedCount(others, othersLimit) : othersLimit
  return [...drawByCapacity(sameZone, sameZoneCount, random), ...drawByCapacity(others, othersCount, random)]
}

/**
 * Selects all entries, so that the load of callers spreads evenly over them; of a fleet that is too large, those of the
 * caller's zone come first, then random others. Entries of different capacity are selected in proportion to it. Entries that
 * are overloaded, or cut off from targets, are left out unless most are.
 */
export function selectAddresses ({ entries, callerZone, random }: AddressSelectionOptions): MemberView[] {
  const usable = shuffle(dropBusy(dropCutOff(entries)), random)
  const sameZone = usable.filter(({ zone }) => zone === callerZone)
  const others = usable.filter(({ zone }) => zone !== callerZone)
  if (usable.length > MAX_ADDRESSES) return selectOfMany(sameZone, others, random)
  const ordered = [...sameZone, ...others]
  return drawByCapacity(ordered, computeNamedCount(ordered, MAX_ADDRESSES), random)
}
