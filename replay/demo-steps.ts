/**
 * The steps of the demo through the entries, each printed with the execution status of its response.
 */
import { createCaller } from './caller.ts'
import type { CallerResponse, CallerRequest } from './caller.ts'
import type { System } from './system.ts'

const LEDGER_BYTES = 3_000_000
const MAX_SHOWN_TEXT_LENGTH = 110

/** A request with the check of its response. */
interface Step {
  title: string
  /** Wait before the request is sent, in ms; 0 when left out. */
  pauseMs?: number
  request: CallerRequest
  /** Checks the response, given those of the steps before; returns what is wrong, or undefined. */
  findMismatch: (response: CallerResponse, previous: readonly CallerResponse[]) => string | undefined
}

function findStatusFault (response: CallerResponse, expected: string): string | undefined {
  return response.executionStatus === expected ? undefined : `the execution status is ${response.executionStatus}, expected ${expected}`
}

const CHARGE: CallerRequest = {
  service: 'booking',
  method: 'POST',
  path: '/slots/4711/charge',
  headers: { 'idempotency-key': 'demo-charge-1', 'content-type': 'application/json' },
  body: '{"amount": 1200}'
}

const STEPS: Step[] = [
  {
    title: 'Slot status (idempotent)',
    request: { service: 'booking', method: 'GET', path: '/slots/4711' },
    findMismatch: (response) => findStatusFault(response, 'ran')
  },
  {
    title: 'Charge slot 4711 (at most once, idempotency key demo-charge-1)',
    request: CHARGE,
    findMismatch: (response) => findStatusFault(response, 'ran')
  },
  {
    title: 'The same charge again with the same key: the stored response is returned, the charge does not run again',
    // The outcome is appended to the log in batches, after the response is sent.
    pauseMs: 500,
    request: CHARGE,
    findMismatch: (response, previous) => response.text === previous.at(-1)?.text ? findStatusFault(response, 'ran') : 'the response differs from that of the first charge'
  },
  {
    title: 'Season ledger, complete download of 3 MB',
    request: { service: 'collection', method: 'GET', path: `/ledgers/co-op-7/2026?bytes=${LEDGER_BYTES}` },
    findMismatch: (response) => response.bytes === LEDGER_BYTES ? findStatusFault(response, 'ran') : `${response.bytes} of ${LEDGER_BYTES} bytes arrived`
  },
  {
    title: 'A service that the contract does not list',
    request: { service: 'weather', method: 'GET', path: '/today' },
    findMismatch: (response) => findStatusFault(response, 'not-run')
  }
]

function describeBody (response: CallerResponse): string {
  const isText = String(response.headers['content-type']).includes('json')
  return isText ? response.text.replace(/\s+/g, ' ').slice(0, MAX_SHOWN_TEXT_LENGTH) : `${response.bytes} bytes, sha256 ${response.sha256.slice(0, 16)}`
}

/** Runs and prints the steps; returns the number of failed steps. */
export async function runSteps (system: System, print: (line: string) => void): Promise<number> {
  const { deployment } = system
  const caller = createCaller({ id: 'reader', customer: deployment.customer, entries: deployment.entries })
  const responses: CallerResponse[] = []
  let failedStepCount = 0
  try {
    const addresses = await caller.listAddresses()
    print(`  Addresses for the caller "reader": ${addresses.map(({ address, port }) => `${address}:${port}`).join(', ')}`)
    if (addresses.length < deployment.entries.length) {
      print(`     WRONG: ${addresses.length} of ${deployment.entries.length} entries are listed`)
      failedStepCount += 1
    }
    for (const { title, pauseMs = 0, request, findMismatch } of STEPS) {
      await new Promise((resolve) => setTimeout(resolve, pauseMs))
      const response = await caller.send(request)
      const mismatch = findMismatch(response, responses)
      responses.push(response)
      print(`  ${title}`)
      print(`     ${request.method} /${deployment.customer}/${request.service}${request.path}`)
      print(`     ${response.status} fate=${response.executionStatus} target=${response.headers['x-target'] ?? '-'} ${describeBody(response)}`)
      if (mismatch === undefined) continue
      print(`     WRONG: ${mismatch}`)
      failedStepCount += 1
    }
  } finally {
    await caller.close()
  }
  return failedStepCount
}
