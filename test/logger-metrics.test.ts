import { PassThrough } from 'node:stream'
import { expect, test } from 'vitest'
import { createLogger } from '../src/process/logger.ts'
import { createMetrics } from '../src/process/metrics.ts'

test('each part logs with its own prefix and the entry', () => {
  const stream = new PassThrough()
  const log = createLogger({ entry: 'entry-1', level: 'info', stream }).forPart('claims')
  log.info('Claim was settled.', { keyHash: 'ab' })
  log.debug('This is below the level.')
  const lines = String(stream.read()).trim().split('\n')
  expect(lines).toHaveLength(1)
  expect(JSON.parse(lines[0] ?? '')).toMatchObject({ name: 'medlarcove', entry: 'entry-1', msg: '[claims] Claim was settled.', keyHash: 'ab' })
})

test('metrics count requests by fate and kind, and costs in seconds', async () => {
  const metrics = createMetrics({ hasProcessFigures: false })
  const labels = { customer: 'kyushu', service: 'booking' }
  metrics.countRequest({ ...labels, fate: 'ran', kind: 'relayed' })
  metrics.countProbes(labels, 2, 12)
  const finish = metrics.startRequest(labels)
  finish()
  finish()
  const { text } = await metrics.renderText()
  expect(text).toContain('medlarcove_requests_total{customer="kyushu",service="booking",fate="ran",kind="relayed"} 1')
  expect(text).toContain('medlarcove_measuring_cost_seconds_total{customer="kyushu",service="booking"} 0.012')
  expect(text).toContain('medlarcove_requests_in_progress{customer="kyushu",service="booking"} 0')
})

test('two processes in one test keep their metrics apart', async () => {
  createMetrics({ hasProcessFigures: false }).countAppend('audit', 'taken')
  const { text } = await createMetrics({ hasProcessFigures: false }).renderText()
  expect(text).not.toContain('stream="audit"')
})
