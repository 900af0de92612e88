/**
 * Load of small requests over kept-alive connections, with latencies.
 */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { Pool } from 'undici'

const US_PER_MS = 1000
const MS_PER_SECOND = 1000
const SIGNIFICANT_DIGITS = 3
const SUCCESS = 200

/** Where small requests go. */
export interface LoadTarget { origin: string, path: string }

/** Creates a histogram of latencies in microseconds. */
export function createLatencyHistogram (): Histogram {
  return build({ numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

/** Returns a percentile in ms. */
export function getPercentileMs (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / US_PER_MS
}

/** Connections to one address that send small requests. */
export interface RequestLoad {
  /** Sends one request and records its latency from `startedMs` on; rejects unless it is answered with 200. */
  sendOne(histogram: Histogram, startedMs?: number): Promise<void>
  /** Sends as fast as `parallel` requests at once allow; returns the requests a second. */
  sendClosed(histogram: Histogram, parallel: number, forMs: number): Promise<number>
  /** Sends at a rate, whatever came of the ones before; latency counts from the planned time. */
  sendOpen(histogram: Histogram, perSecond: number, forMs: number): Promise<void>
  close(): Promise<void>
}

/** Creates a load over at most `connections` connections. */
export function createRequestLoad (target: LoadTarget, connections: number): RequestLoad {
  const pool = new Pool(target.origin, { connections, pipelining: 1 })
  const sendOne = async (histogram: Histogram, startedMs = performance.now()): Promise<void> => {
    const { statusCode, body } = await pool.request({ method: 'GET', path: target.path })
    const text = await body.text()
    if (statusCode !== SUCCESS) throw new Error(`${target.origin}${target.path} answered ${statusCode}: ${text}`)
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startedMs) * US_PER_MS)))
  }
  return {
    sendOne,
    async sendClosed (histogram, parallel, forMs) {
      const startMs = performance.now()
      const runCaller = async (): Promise<number> => {
        let count = 0
        for (; performance.now() < startMs + forMs; count++) await sendOne(histogram)
        return count
      }
      const counts = await Promise.all(Array.from({ length: parallel }, runCaller))
      return counts.reduce((sum, count) => sum + count, 0) / (performance.now() - startMs) * MS_PER_SECOND
    },
    async sendOpen (histogram, perSecond, forMs) {
      const startMs = performance.now()
      const pending: Promise<void>[] = []
      const total = Math.floor(perSecond * forMs / MS_PER_SECOND)
      while (pending.length < total) {
        const due = Math.min(total, Math.floor((performance.now() - startMs) * perSecond / MS_PER_SECOND))
        while (pending.length < due) pending.push(sendOne(histogram))
        await new Promise((resolve) => setTimeout(resolve, 1))
      }
      await Promise.all(pending)
    },
    close: () => pool.destroy()
  }
}
