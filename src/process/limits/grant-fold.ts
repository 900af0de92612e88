/**
 * Folds the `demand` stream into grant windows. All readers of the same prefix compute the same pools.
 */
import type { CustomerId, Incarnation, Offset } from '../../types.ts'
import { NO_WINDOW_OFFSET } from './demand-record.ts'
import type { DemandRecord, Pool, PoolHolder, WindowOpening } from './demand-record.ts'
import { splitByNeed } from './grant-split.ts'

/** A need counts for this many windows after its record. */
const RATE_MEMORY_WINDOWS = 2

/** A grant window and the pools at its opening. */
export interface GrantWindow {
  /** 1 for the first. */
  window: number
  /** Offset of the record that opened it. */
  openedAt: Offset
  pools: ReadonlyMap<CustomerId, Pool>
}

/** What one incarnation may use of a pool in a window: requests a second, and requests at once. */
export interface Grant { rate: number, slots: number }

/** The fold; it takes records in offset order. */
export interface GrantFold {
  /** Applies the next record. Returns the window that it opens, if any. */
  addRecord(offset: Offset, record: DemandRecord): GrantWindow | undefined
  /** Returns the window that was opened last; undefined until one is known for certain. */
  getWindow(): GrantWindow | undefined
  /** Returns whether a record that opens the first window of the stream may be written. */
  canStartStream(): boolean
  /** Counts the windows whose snapshot differs from the folded pools; 0 unless a writer is faulty. */
  countMismatches(): number
}

type Pools = Map<CustomerId, Pool>

function toPools (pools: readonly Pool[]): Pools {
  return new Map(pools.map((pool) => [pool.customer, { ...pool, holders: pool.holders.map((holder) => ({ ...holder })) }]))
}

/** Lists pools in the order of a record: by customer, with holders by incarnation. */
export function listPools (pools: ReadonlyMap<CustomerId, Pool>): Pool[] {
  return [...pools.values()].sort((a, b) => (a.customer < b.customer ? -1 : 1))
}

function getHolder (pool: Pool, run: Incarnation): PoolHolder {
  const known = pool.holders.find((holder) => holder.run === run)
  if (known) return known
  const created = { run, rate: 0, slots: 0, granted: 0, seenWindow: 0 }
  pool.holders.push(created)
  pool.holders.sort((a, b) => (a.run < b.run ? -1 : 1))
  return created
}

/** Applies one record's needs, written in the window `window`, to the pools of the next window. */
function applyNeeds (pools: Pools, window: number, record: DemandRecord): void {
  for (const need of record.needs) {
    const { rate, slots, held, ...terms } = need
    const known = pools.get(need.customer)
    const pool = known ?? { ...terms, holders: [] }
    if (need.contractVersion > pool.contractVersion) Object.assign(pool, terms)
    pools.set(need.customer, pool)
    const isNew = !pool.holders.some((holder) => holder.run === record.run)
    const holder = getHolder(pool, record.run)
    holder.rate = rate
    holder.slots = slots
    holder.seenWindow = window + 1
    // An incarnation that had not read this window may still come to use the slots that the window grants it.
    if (record.knownWindow === window || isNew) holder.granted = held
  }
}

/** Removes holders that stopped writing, and grants the free slots. */
function addFreeSlots (pool: Pool, window: number): void {
  pool.holders = pool.holders.filter((holder) => window - holder.seenWindow <= pool.keptWindows)
  const held = pool.holders.reduce((sum, holder) => sum + holder.granted, 0)
  const needs = pool.holders.map((holder) => (hasRecentNeed(holder, window) ? holder.slots : 0))
  const extra = splitByNeed(Math.max(0, pool.slotPool - held), needs)
  pool.holders.forEach((holder, index) => { holder.granted += extra[index] ?? 0 })
}

function hasRecentNeed (holder: PoolHolder, window: number): boolean {
  return window - holder.seenWindow < RATE_MEMORY_WINDOWS
}

/** Computes what an incarnation may use of a customer's pool in a window. */
export function computeGrant (window: GrantWindow, customer: CustomerId, run: Incarnation): Grant {
  const pool = window.pools.get(customer)
  const index = pool?.holders.findIndex((holder) => holder.run === run) ?? -1
  if (!pool || index < 0) return { rate: 0, slots: 0 }
  const needs = pool.holders.map((holder) => (hasRecentNeed(holder, window.window) ? holder.rate : 0))
  return { rate: splitByNeed(pool.ratePool, needs)[index] ?? 0, slots: pool.holders[index]?.granted ?? 0 }
}

/** Computes the pools of the next window from the records between two openings. */
function computeNextPools (pools: ReadonlyMap<CustomerId, Pool>, window: number, records: readonly DemandRecord[]): Pools {
  const next = toPools([...pools.values()])
  for (const record of records) applyNeeds(next, window, record)
  for (const pool of next.values()) addFreeSlots(pool, window + 1)
  for (const pool of next.values()) if (pool.holders.length === 0) next.delete(pool.customer)
  return next
}

/**
 * Creates a fold that begins at the offset `from`. It knows a window for certain once it has read an opening whose previous
 * opening is at or after `from`. The first window of the stream is certain if `from` is the start of the stream.
 */
export function createGrantFold (from: Offset, isStreamStart: boolean): GrantFold {
  let current: GrantWindow | undefined
  let pending: { offset: Offset, record: DemandRecord }[] = []
  let mismatches = 0
  let hasSeenOpening = false

  /** Returns the window that a valid opening follows; undefined if the opening is not valid. */
  const findPrevious = (opening: WindowOpening): Omit<GrantWindow, 'openedAt'> | undefined => {
    if (current) return opening.basedOn === current.openedAt && opening.window === current.window + 1 ? current : undefined
    const isFirst = opening.basedOn === NO_WINDOW_OFFSET
    // An opening of the first window that follows another opening comes from a writer that was delayed for very long.
    if (isFirst) return isStreamStart && !hasSeenOpening && opening.window === 1 ? { window: 0, pools: new Map() } : undefined
    if (opening.basedOn < from) return undefined
    return { window: opening.window - 1, pools: toPools(opening.pools) }
  }
  return {
    addRecord (offset, record) {
      pending.push({ offset, record })
      const { opening } = record
      const previous = opening && findPrevious(opening)
      hasSeenOpening ||= opening !== undefined
      if (!opening || !previous) return undefined
      if (current && JSON.stringify(listPools(current.pools)) !== JSON.stringify(opening.pools)) mismatches += 1
      const between = pending.filter((entry) => entry.offset > opening.basedOn).map((entry) => entry.record)
      current = { window: opening.window, openedAt: offset, pools: computeNextPools(previous.pools, previous.window, between) }
      pending = []
      return current
    },
    getWindow: () => current,
    canStartStream: () => isStreamStart && !hasSeenOpening,
    countMismatches: () => mismatches
  }
}
