import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createDeferredMetrics } from '../src/process/gateway/deferred-metrics.ts'
import { createGatewayMetrics } from '../src/process/gateway/gateway-metrics.ts'
import type { GatewayMetricValues } from '../src/process/gateway/gateway-metrics.ts'
import type { RequestRecord } from '../src/request/gateway/request-record.ts'
import { SILENT_LOGGER } from './support/silent-logger.ts'

const NO_VALUES: GatewayMetricValues = {
  services: [],
  store: { reads: 0, appends: 0, failures: 0, receivedBytes: 0 },
  storeEpoch: 0,
  version: 0,
  isReady: false,
  cutOff: 'none',
  capacity: 1,
  evacuatedZones: 0,
  limiter: { limitedTargets: 0, coldTargets: 0, granted: 0, denied: 0, unanswered: 0, issued: 0 },
  quotas: { customers: 0, granted: 0, rejected: 0, issued: 0, fromReserve: 0, asked: 0, unanswered: 0 },
  targetCrashes: 0,
  quarantine: { suspected: 0, quarantined: 0, trials: 0, unleasedTrials: 0, rejected: 0 },
  liveEntries: 1,
  datagrams: { sent: 0, received: 0, refused: 0, failed: 0 },
  droppedLogLines: 0,
  inProgress: 0,
  bodyBytes: 0,
  pipelining: { pipelined: 0, unread: 0, heldBytes: 0 },
  closingConnections: 0
}

function createRecord (tookMs: number): RequestRecord {
  return { id: 'a', route: 'safe', service: 'desk', version: 1, leftMs: 1_000, attempts: [], status: 200, end: 'whole', tookMs }
}

function setup () {
  const clock = createTestClock()
  let loadCount = 0
  const metrics = createDeferredMetrics({
    async load () {
      loadCount += 1
      return createGatewayMetrics()
    },
    clock,
    logger: SILENT_LOGGER
  })
  return { clock, metrics, countLoads: () => loadCount }
}

test('requests before the load of the metrics are counted in them', async () => {
  const { clock, metrics, countLoads } = setup()
  metrics.recordRequest(createRecord(100))
  expect(countLoads()).toBe(0)
  await clock.advance(3_000)
  expect(countLoads()).toBe(1)
  metrics.recordRequest(createRecord(100))
  const { text } = await metrics.renderText(NO_VALUES)
  expect(text).toContain('medlarcove_requests_total{service="desk",status="200",kind="whole"} 2')
})

test('a scrape loads the metrics at once, and only once', async () => {
  const { clock, metrics, countLoads } = setup()
  metrics.recordRequest(createRecord(100))
  const [first, second] = await Promise.all([metrics.renderText(NO_VALUES), metrics.renderText(NO_VALUES)])
  expect(first.text).toContain('medlarcove_request_seconds_count{service="desk"} 1')
  expect(second.text).toContain('medlarcove_request_seconds_count{service="desk"} 1')
  await clock.advance(10_000)
  expect(countLoads()).toBe(1)
})

test('a close before the load cancels it', async () => {
  const { clock, metrics, countLoads } = setup()
  metrics.close()
  await clock.advance(10_000)
  expect(countLoads()).toBe(0)
})

test('metrics of customers name none of them, and the least urgent priorities share a label', async () => {
  const { metrics } = setup()
  const sharing = { waitingByPriority: new Map([[0, 1], [7, 2], [900, 3], [Infinity, 4]]), customers: { served: 9, rejected: 2, largestRejectedShare: 0.75 } }
  const service = { service: 'desk', waiting: 10, targets: 3, loadProbes: 0, queued: 0, rejected: 0, retries: 0, hedges: { sent: 0, won: 0 }, scarceSearches: 0, ...sharing }
  const { text } = await metrics.renderText({ ...NO_VALUES, services: [service] })
  const lines = text.split('\n').filter((line) => /^medlarcove_(requests_waiting_by_priority|customers|largest_rejected_share)/.test(line))
  expect(lines).toEqual([
    'medlarcove_requests_waiting_by_priority{service="desk",priority="0"} 1',
    'medlarcove_requests_waiting_by_priority{service="desk",priority="4+"} 5',
    'medlarcove_requests_waiting_by_priority{service="desk",priority="beyond-share"} 4',
    'medlarcove_customers{service="desk",outcome="served"} 9',
    'medlarcove_customers{service="desk",outcome="rejected"} 2',
    'medlarcove_largest_rejected_share{service="desk"} 0.75'
  ])
})
