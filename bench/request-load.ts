/**
 * Generates load of small requests over keep-alive connections and records their latencies.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'

const US_PER_MS = 1000
const MS_PER_SECOND = 1000
const SIGNIFICANT_DIGITS = 3
const SUCCESS_STATUS = 200

/** Address that the requests are sent to. */
export interface LoadTarget { origin: string, path: string }

/** Creates a histogram of latencies in microseconds. */
export function createLatencyHistogram (): Histogram {
  return build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

/** Returns a percentile of a latency histogram, in ms. */
export function getPercentileMs (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / US_PER_MS
}

/** Connections to one address that send requests. */
export interface RequestLoad {
  /** Sends one request and records its latency, counted from `startMs`. Default: now. Rejects if the response status is not 200. */
  sendOne(histogram: Histogram, startMs?: number): Promise<void>
  /** Sends in a closed loop with `concurrency` requests in flight, for `durationMs`; returns the requests per second. */
  sendClosed(histogram: Histogram, concurrency: number, durationMs: number): Promise<number>
  /**
   * Sends in an open loop at a fixed rate for `durationMs`, however many requests are in flight. Latency counts from the send,
   * the wait for a free connection included. Rejects if a request fails.
   */
  sendOpen(histogram: Histogram, requestsPerSecond: number, durationMs: number): Promise<void>
  /** Closes the connections. */
  close(): Promise<void>
}

/** Creates a load generator with at most `connections` connections. */
export function createRequestLoad (target: LoadTarget, connections: number): RequestLoad {
  const pool = new Pool(target.origin, { connections, pipelining: 1 })
  const sendOne = async (histogram: Histogram, startMs = performance.now()): Promise<void> => {
    const { statusCode, body } = await pool.request({ method: 'GET', path: target.path })
    const text = await body.text()
    if (statusCode !== SUCCESS_STATUS) throw new Error(`${target.origin}${target.path} returned status ${statusCode}, not 200: ${text}`)
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startMs) * US_PER_MS)))
  }
  return {
    sendOne,
    async sendClosed (histogram, concurrency, durationMs) {
      const startMs = performance.now()
      const runConnection = async (): Promise<number> => {
        let count = 0
        for (; performance.now() < startMs + durationMs; count++) await sendOne(histogram)
        return count
      }
      const counts = await Promise.all(Array.from({ length: concurrency }, runConnection))
      return counts.reduce((sum, count) => sum + count, 0) / (performance.now() - startMs) * MS_PER_SECOND
    },
    async sendOpen (histogram, requestsPerSecond, durationMs) {
      const startMs = performance.now()
      const pending: Promise<void>[] = []
      const total = Math.floor(requestsPerSecond * durationMs / MS_PER_SECOND)
      while (pending.length < total) {
        const dueCount = Math.min(total, Math.floor((performance.now() - startMs) * requestsPerSecond / MS_PER_SECOND))
        while (pending.length < dueCount) pending.push(sendOne(histogram))
        await new Promise((resolve) => setTimeout(resolve, 1))
      }
      await Promise.all(pending)
    },
    close: () => pool.destroy()
  }
}
