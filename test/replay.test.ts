import { expect, test } from 'vitest'
import { buildRequest } from '../replay/build-request.ts'
import type { CallerAnswer } from '../replay/caller.ts'
import { createDeployment } from '../replay/deployment.ts'
import { checkInvariants } from '../replay/judge.ts'
import type { TargetNotes } from '../replay/judge.ts'
import type { PlayedRequest } from '../replay/run-trace.ts'
import { buildRepeatedTrace, parseTrace } from '../replay/trace.ts'
import type { ExecutionStatus } from '../src/types.ts'

const deployment = createDeployment({ sample: 'kyushu', root: '.', network: '127.0.0', entryCount: 2, targetCount: 2 })
const CHARGE = { time: 5, caller: 'c1', service: 'booking', operation: 'charge-slot', key: 'k1' }
const CHARGE_RUN = { key: 'k1', operation: 'POST /slots/k1/charge', atMs: 10, state: 'done' }

function createPlayed (fate: ExecutionStatus, text: string, version = 1, startedAtMs = 0): PlayedRequest {
  const status = fate === 'ran' ? 200 : 503
  const answer: CallerAnswer = { attempts: [{ kind: 'answered', status, fate, version }], status, fate, headers: {}, text, bytes: text.length, sha256: '' }
  return { line: CHARGE, expected: buildRequest(CHARGE, 0, deployment.services), answer, startedAtMs, endedAtMs: startedAtMs + 1, latencyMs: 1 }
}

function findBroken (requests: PlayedRequest[], runs: TargetNotes['runs'], costMs = 0): string[] {
  const notes = [{ target: deployment.targets[0]!, busyMs: 0, runs, probes: 0, connections: 0 }]
  const trace = { requests, faults: [{ line: { time: 0, what: 'control' as const, where: 'booking/slot-01', with: { isLeaving: true } }, atMs: 0 }], startedAtMs: 0, endedAtMs: 100 }
  const costs = [{ service: 'booking', probes: 0, costMs, budgetMs: 10, shareOfServerTime: 0 }]
  return checkInvariants({ trace, notes, costs, exitCodes: {} }).filter(({ holds }) => !holds).map(({ invariant }) => invariant)
}

const OWN_TEXT = '{"operation":"POST /slots/k1/charge"}'

test('a trace in which all went well breaks no invariant', () => {
  expect(findBroken([createPlayed('ran', OWN_TEXT)], [CHARGE_RUN])).toEqual([])
})

test('each broken promise is found', () => {
  expect(findBroken([createPlayed('ran', OWN_TEXT)], [CHARGE_RUN, CHARGE_RUN])).toEqual(['work that may not be repeated runs at most once'])
  expect(findBroken([createPlayed('not-run', '')], [CHARGE_RUN])).toEqual(['what is refused as not-run did not run'])
  expect(findBroken([createPlayed('ran', '{"operation":"GET /slots/k2"}')], [CHARGE_RUN])).toEqual(['each caller gets the whole answer to its own request'])
  expect(findBroken([createPlayed('ran', OWN_TEXT)], [{ ...CHARGE_RUN, atMs: 2_500 }])).toEqual(['a leaving target receives no new work after 2 s'])
  expect(findBroken([createPlayed('ran', OWN_TEXT, 2), createPlayed('ran', OWN_TEXT, 1, 50)], [CHARGE_RUN])).toEqual(['the contract version never reverts'])
  expect(findBroken([createPlayed('ran', OWN_TEXT)], [CHARGE_RUN], 11)).toEqual(['measuring stays within the budget of the contract'])
})

test('a malformed line of a trace is named by file and line', () => {
  expect(() => parseTrace('{"time":1}\n', 'day.jsonl')).toThrow(/^day\.jsonl:1: not a line of a trace/)
})

test('a repeated trace keeps its order and has keys of its own in each round', () => {
  const trace = parseTrace(`${JSON.stringify(CHARGE)}\n`, 'day.jsonl')
  expect(buildRepeatedTrace(trace, 2).requests.map(({ time, key }) => [time, key])).toEqual([[5, 'k1'], [10, 'k1-r1']])
})
