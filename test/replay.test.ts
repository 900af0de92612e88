import { expect, test } from 'vitest'
import { buildRequest } from '../replay/build-request.ts'
import type { CallerResponse } from '../replay/caller.ts'
import { createDeployment } from '../replay/deployment.ts'
import { checkInvariants } from '../replay/check-invariants.ts'
import type { TargetWorkRecord } from '../replay/check-invariants.ts'
import type { PlayedRequest } from '../replay/run-trace.ts'
import { buildRepeatedTrace, parseTrace } from '../replay/trace.ts'
import type { ExecutionStatus } from '../src/types.ts'

const deployment = createDeployment({ sample: 'kyushu', root: '.', network: '127.0.0', entryCount: 2, maxTargetsPerService: 2 })
const CHARGE = { time: 5, caller: 'c1', service: 'booking', operation: 'charge-slot', key: 'k1' }
const CHARGE_RUN = { key: 'k1', operation: 'POST /slots/k1/charge', atMs: 10, state: 'done' }

function createPlayedCharge (executionStatus: ExecutionStatus, text: string, version = 1, startedAtMs = 0): PlayedRequest {
  const status = executionStatus === 'ran' ? 200 : 503
  const response: CallerResponse = { attempts: [{ kind: 'answered', status, fate: executionStatus, version }], status, executionStatus, headers: {}, text, bytes: text.length, sha256: '' }
  return { line: CHARGE, expected: buildRequest(CHARGE, 0, deployment.services), response, startedAtMs, endedAtMs: startedAtMs + 1, latencyMs: 1 }
}

function findViolations (requests: PlayedRequest[], runs: TargetWorkRecord['runs'], costMs = 0): string[] {
  const targetRecords = [{ target: deployment.targets[0]!, busyMs: 0, runs, probes: 0, connections: 0 }]
  const trace = { requests, faults: [{ line: { time: 0, what: 'control' as const, where: 'booking/slot-01', with: { isLeaving: true } }, atMs: 0 }], startedAtMs: 0, endedAtMs: 100 }
  const costs = [{ service: 'booking', probes: 0, costMs, budgetMs: 10, shareOfServerTime: 0 }]
  return checkInvariants({ trace, targetRecords, costs, exitCodes: {} }).filter(({ holds }) => !holds).map(({ invariant }) => invariant)
}

const CHARGE_RESPONSE = '{"operation":"POST /slots/k1/charge"}'

test('a replay without faults violates no invariant', () => {
  expect(findViolations([createPlayedCharge('ran', CHARGE_RESPONSE)], [CHARGE_RUN])).toEqual([])
})

test('each violated invariant is reported', () => {
  expect(findViolations([createPlayedCharge('ran', CHARGE_RESPONSE)], [CHARGE_RUN, CHARGE_RUN])).toEqual(['non-idempotent work runs at most once'])
  expect(findViolations([createPlayedCharge('not-run', '')], [CHARGE_RUN])).toEqual(['a request reported as not-run did not run'])
  expect(findViolations([createPlayedCharge('ran', '{"operation":"GET /slots/k2"}')], [CHARGE_RUN])).toEqual(['each caller receives the complete response to its own request'])
  expect(findViolations([createPlayedCharge('ran', CHARGE_RESPONSE)], [{ ...CHARGE_RUN, atMs: 2_500 }])).toEqual(['a leaving target receives no new work after 2 s'])
  expect(findViolations([createPlayedCharge('ran', CHARGE_RESPONSE, 2), createPlayedCharge('ran', CHARGE_RESPONSE, 1, 50)], [CHARGE_RUN])).toEqual(['the contract version never reverts'])
  expect(findViolations([createPlayedCharge('ran', CHARGE_RESPONSE)], [CHARGE_RUN], 11)).toEqual(['measuring stays within the budget of the contract'])
})

test('a malformed trace line is reported with file and line', () => {
  expect(() => parseTrace('{"time":1}\n', 'day.jsonl')).toThrow(/^day\.jsonl:1: malformed trace line/)
})

test('a repeated trace keeps its order and has different keys in each round', () => {
  const trace = parseTrace(`${JSON.stringify(CHARGE)}\n`, 'day.jsonl')
  expect(buildRepeatedTrace(trace, 2).requests.map(({ time, key }) => [time, key])).toEqual([[5, 'k1'], [10, 'k1-r1']])
})
