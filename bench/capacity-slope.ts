/**
 * Tables and slopes of the capacity bench, and functions that measure processor time and memory of this process.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** The figures measured at one size. */
export interface CapacityPoint { size: number, figures: Record<string, number> }

/** A part of a role, measured at several sizes; `--json` prints it under these names. */
export interface CapacityRow {
  role: string
  /** The unit that the size counts. */
  per: string
  points: CapacityPoint[]
  /** Increase of each figure per unit of size, by least squares. */
  slopes: Record<string, number>
}

const US_PER_MS = 1_000

/** Returns the slope of the least-squares line. */
function computeSlope (points: readonly { size: number, value: number }[]): number {
  const meanSize = points.reduce((sum, point) => sum + point.size, 0) / points.length
  const meanValue = points.reduce((sum, point) => sum + point.value, 0) / points.length
  const covariance = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0)
  const variance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0)
  return covariance / variance
}

/** Creates a row and computes its slopes. */
export function createRow (role: string, per: string, points: CapacityPoint[]): CapacityRow {
  const names = Object.keys(points[0]?.figures ?? {})
  const slopes = names.map((name) => [name, computeSlope(points.map(({ size, figures }) => ({ size, value: figures[name] ?? 0 })))])
  return { role, per, points, slopes: Object.fromEntries(slopes) }
}

setFlagsFromString('--expose-gc')
const runGarbageCollection = runInNewContext('gc') as () => void

/** Returns the memory in use after a garbage collection, buffers outside the heap included, in bytes. */
export function readUsedBytes (): number {
  runGarbageCollection()
  runGarbageCollection()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Returns the processor time that this process has used so far, in ms. */
export function readOwnCpuMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / US_PER_MS
}

/** Runs an action `runs` times in each of 5 rounds; returns the processor time of one run in the fastest round, in ms. */
export function measureRun (runs: number, action: () => void): number {
  const ROUND_COUNT = 5
  const rounds = Array.from({ length: ROUND_COUNT }, () => {
    const startMs = readOwnCpuMs()
    for (let run = 0; run < runs; run++) action()
    return (readOwnCpuMs() - startMs) / runs
  })
  return Math.min(...rounds)
}
