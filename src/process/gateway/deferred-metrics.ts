/**
 * Metrics whose library is loaded some time after the start, so that it does not delay the first requests.
 */
import type { Clock } from '../../clock.ts'
import { describeCause } from '../../errors.ts'
import type { RequestRecord } from '../../request/gateway/request-record.ts'
import type { Cancel } from '../../types.ts'
import type { PartLogger } from '../logger.ts'
import type { GatewayMetrics } from './gateway-metrics.ts'

/** Options of `createDeferredMetrics`. */
export interface DeferredMetricsOptions {
  /** Loads the library and creates the metrics. */
  load(): Promise<GatewayMetrics>
  clock: Clock
  logger: PartLogger
}

/** Metrics that keep the records of requests until the library has been loaded. */
export interface DeferredMetrics extends GatewayMetrics {
  /** Cancels the scheduled load. */
  close(): void
}

/** Time from the start to the load, in ms, when nobody asks for metrics earlier. */
const LOAD_DELAY_MS = 3_000
/** Records kept until then; each holds a few hundred bytes. */
const MAX_KEPT_RECORDS = 10_000

/** Creates the metrics; they are loaded after `LOAD_DELAY_MS`, or when they are first rendered. */
export function createDeferredMetrics ({ load, clock, logger }: DeferredMetricsOptions): DeferredMetrics {
  const kept: RequestRecord[] = []
  let droppedCount = 0
  let loaded: GatewayMetrics | undefined
  let loading: Promise<GatewayMetrics> | undefined

  const applyKept = (metrics: GatewayMetrics): GatewayMetrics => {
    for (const record of kept.splice(0)) metrics.recordRequest(record)
    if (droppedCount > 0) logger.warn('Requests before the load of the metrics are not counted in them.', { count: droppedCount })
    loaded = metrics
    return metrics
  }
  const startLoading = (): Promise<GatewayMetrics> => {
    loading ??= load().then(applyKept)
    return loading
  }
  const cancelLoad: Cancel = clock.startTimer(LOAD_DELAY_MS, () => {
    startLoading().catch((cause: unknown) => logger.error('The metrics could not be loaded.', { error: describeCause(cause) }))
  })
  return {
    recordRequest (record) {
      if (loaded) loaded.recordRequest(record)
      else if (kept.length < MAX_KEPT_RECORDS) kept.push(record)
      else droppedCount += 1
    },
    renderText: async (values) => (await startLoading()).renderText(values),
    close: cancelLoad
  }
}
