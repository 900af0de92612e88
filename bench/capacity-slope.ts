/**
 * Sizes, figures and slopes of the capacity bench, and how processor time and memory are read.
 */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** What was measured at one size. */
export interface CapacityPoint { size: number, figures: Record<string, number> }

/** One part of a role, measured at several sizes. */
export interface CapacityRow {
  role: string
  /** What the size counts. */
  per: string
  points: CapacityPoint[]
  /** What one more of the size adds to each figure, by least squares. */
  slopes: Record<string, number>
}

const MICROSECONDS_PER_MS = 1_000

function computeSlope (points: readonly { size: number, value: number }[]): number {
  const meanSize = points.reduce((sum, point) => sum + point.size, 0) / points.length
  const meanValue = points.reduce((sum, point) => sum + point.value, 0) / points.length
  const covariance = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.value - meanValue), 0)
  const variance = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0)
  return covariance / variance
}

/** Creates a row with its slopes. */
export function createRow (role: string, per: string, points: CapacityPoint[]): CapacityRow {
  const names = Object.keys(points[0]?.figures ?? {})
  const slopes = names.map((name) => [name, computeSlope(points.map(({ size, figures }) => ({ size, value: figures[name] ?? 0 })))])
  return { role, per, points, slopes: Object.fromEntries(slopes) }
}

setFlagsFromString('--expose-gc')
const runGarbageCollection = runInNewContext('gc') as () => void

/** Reads the memory in use after a garbage collection, buffers outside the heap included, in bytes. */
export function readUsedBytes (): number {
  runGarbageCollection()
  runGarbageCollection()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Reads the processor time of this process, in ms. */
export function readOwnCpuMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MS
}

/** Runs an action again and again and returns the processor time of one run, in ms; the best of a few rounds. */
export function measureRun (runs: number, action: () => void): number {
  const ROUNDS = 5
  const rounds = Array.from({ length: ROUNDS }, () => {
    const startMs = readOwnCpuMs()
    for (let run = 0; run < runs; run++) action()
    return (readOwnCpuMs() - startMs) / runs
  })
  return Math.min(...rounds)
}
