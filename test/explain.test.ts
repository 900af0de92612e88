import { expect, test } from 'vitest'
import { explainRequest, parseLogLines } from '../src/cli/explain.ts'

function formatLine (fields: Record<string, unknown>): string {
  return JSON.stringify({ name: 'medlarcove', entry: 'front-1', hostname: 'h', pid: 1, level: 30, time: '2026-01-01T00:00:05.000Z', v: 0, ...fields })
}

const REQUEST = {
  id: 'a1',
  route: 'r',
  service: 'desk',
  version: 3,
  leftMs: 1200,
  tookMs: 40,
  status: 502,
  end: 'whole',
  error: 'target-broken',
  detail: 'reset',
  attempts: [{ target: 'i-1', by: 'looked', waitedMs: 2, expectedMs: 90, load: '1+0/4 x1', loadAgeMs: 1, atMs: 3, end: 'broken: reset' }],
  standsFor: 1,
  msg: '[request] Did not serve a request.'
}
const LOG = [
  `  4.9 front-1 ${formatLine({ time: '2026-01-01T00:00:04.900Z', target: 'i-1', because: 'too many of its recent requests failed', msg: '[gateway] Ejected a target.' })}`,
  formatLine({ time: '2026-01-01T00:00:04.900Z', target: 'i-2', msg: '[gateway] Ejected a target.' }),
  formatLine({ time: '2026-01-01T00:00:04.000Z', topic: 'keyed.op', msg: '[store] The store cannot be read.' }),
  formatLine({ entry: 'front-2', msg: '[store] The store cannot be read.' }),
  formatLine(REQUEST),
  'not a line of ours',
  '{"name":"medlarcove","entry":'
].join('\n')

test('a request is explained by its attempts and by earlier log lines of its entry about the same targets and the store', () => {
  const explanation = explainRequest('a1', parseLogLines(LOG))._unsafeUnwrap().split('\n')
  expect(explanation).toEqual([
    '2026-01-01T00:00:05.000Z request a1 at front-1: route r, service desk, configuration 3, 1200 ms left',
    '  attempt 1, 3 ms after its start: target i-1 (chosen: looked; load 1+0/4 x1, 1 ms old; expected 90 ms; waited 2 ms): broken: reset',
    '  after 40 ms: status 502 for target-broken (reset); end of the response: whole',
    '  logged by this entry before:',
    '    2026-01-01T00:00:04.900Z [gateway] Ejected a target. {"target":"i-1","because":"too many of its recent requests failed"}',
    '    2026-01-01T00:00:04.000Z [store] The store cannot be read. {"topic":"keyed.op"}',
    ''
  ])
})

test('a request without a log line is reported as an error', () => {
  expect(explainRequest('a2', parseLogLines(LOG))._unsafeUnwrapErr().message).toContain('No log line has the request id a2.')
})
