import { PassThrough } from 'node:stream'
import { expect, test } from 'vitest'
import { createLogger } from '../src/process/logger.ts'
import { createMetrics } from '../src/process/metrics.ts'

test('log lines carry the prefix of their part and the entry, and lines below the level are left out', () => {
  const stream = new PassThrough()
  const log = createLogger({ entry: 'entry-1', level: 'info', stream }).forPart('claims')
  log.info('Claim was settled.', { keyHash: 'ab' })
  log.debug('This is below the level.')
  const lines = String(stream.read()).trim().split('\n')
  expect(lines).toHaveLength(1)
  expect(JSON.parse(lines[0] ?? '')).toMatchObject({ name: 'medlarcove', entry: 'entry-1', msg: '[claims] Claim was settled.', keyHash: 'ab' })
})

test('metrics count requests by execution status and kind, and export costs in seconds', async () => {
  const metrics = createMetrics({ hasProcessFigures: false })
  const labels = { customer: 'kyushu', service: 'booking' }
  metrics.countRequest({ ...labels, fate: 'ran', kind: 'relayed' })
  const service = { ...labels, waiting: 1, connections: 2, targets: { serving: 3 }, hedges: 4, retries: 5, probes: 2, probeCostMs: 12 }
  metrics.watchFigures(async () => ({
    services: [service],
    peers: { live: 6, suspect: 0, leaving: 0, gone: 0 },
    callers: { connections: 7, inProgress: 0 },
    claims: { keys: 8, appends: 9, unsettled: 0 },
    audit: { written: 10, waiting: 0, lost: 0 }
  }))
  await metrics.renderText()
  const { text } = await metrics.renderText()
  expect(text).toContain('medlarcove_requests_total{customer="kyushu",service="booking",fate="ran",kind="relayed"} 1')
  expect(text).toContain('medlarcove_measuring_cost_seconds_total{customer="kyushu",service="booking"} 0.012')
  expect(text).toContain('medlarcove_hedges_total{customer="kyushu",service="booking"} 4')
  expect(text).toContain('medlarcove_targets{customer="kyushu",service="booking",state="serving"} 3')
  expect(text).toContain('medlarcove_peers{state="live"} 6')
})

test('two instances of the metrics in one process do not share values', async () => {
  createMetrics({ hasProcessFigures: false }).countRequest({ customer: 'other', service: 'booking', fate: 'ran', kind: 'relayed' })
  const { text } = await createMetrics({ hasProcessFigures: false }).renderText()
  expect(text).not.toContain('customer="other"')
})
