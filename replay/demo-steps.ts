/**
 * The steps of the demo, each printed with its fate.
 */
import { createCaller } from './caller.ts'
import type { CallerAnswer, CallerRequest } from './caller.ts'
import type { System } from './system.ts'

const LEDGER_BYTES = 3_000_000
const SHOWN_TEXT = 110

/** What a step must show. */
interface Step {
  title: string
  /** How long to wait before, in ms. */
  pauseMs?: number
  request: CallerRequest
  /** Checks the answer; returns what is wrong, if anything. */
  findFault: (answer: CallerAnswer, previous: readonly CallerAnswer[]) => string | undefined
}

function findFateFault (answer: CallerAnswer, fate: string): string | undefined {
  return answer.fate === fate ? undefined : `the fate is ${answer.fate}, not ${fate}`
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
    title: 'Slot status (repeatable)',
    request: { service: 'booking', method: 'GET', path: '/slots/4711' },
    findFault: (answer) => findFateFault(answer, 'ran')
  },
  {
    title: 'Charge slot 4711 (at most once, key demo-charge-1)',
    request: CHARGE,
    findFault: (answer) => findFateFault(answer, 'ran')
  },
  {
    title: 'The same charge with the same key a moment later: answered from the record, not run again',
    // The outcome is written to the log in batches, after the answer.
    pauseMs: 500,
    request: CHARGE,
    findFault: (answer, previous) => answer.text === previous.at(-1)?.text ? findFateFault(answer, 'ran') : 'the answer is not that of the first charge'
  },
  {
    title: 'Season ledger, 3 MB, whole',
    request: { service: 'collection', method: 'GET', path: `/ledgers/co-op-7/2026?bytes=${LEDGER_BYTES}` },
    findFault: (answer) => answer.bytes === LEDGER_BYTES ? findFateFault(answer, 'ran') : `${answer.bytes} of ${LEDGER_BYTES} bytes arrived`
  },
  {
    title: 'A service that the contract does not list',
    request: { service: 'weather', method: 'GET', path: '/today' },
    findFault: (answer) => findFateFault(answer, 'not-run')
  }
]

function describeBody (answer: CallerAnswer): string {
  const isText = String(answer.headers['content-type']).includes('json')
  return isText ? answer.text.replace(/\s+/g, ' ').slice(0, SHOWN_TEXT) : `${answer.bytes} bytes, sha256 ${answer.sha256.slice(0, 16)}`
}

/** Makes the path of the demo and prints each step; returns the number of steps that went wrong. */
export async function runSteps (system: System, print: (line: string) => void): Promise<number> {
  const { deployment } = system
  const caller = createCaller({ id: 'reader', customer: deployment.customer, entries: deployment.entries })
  const answers: CallerAnswer[] = []
  let faults = 0
  try {
    const addresses = await caller.listAddresses()
    print(`  Addresses for the caller "reader": ${addresses.map(({ address, port }) => `${address}:${port}`).join(', ')}`)
    if (addresses.length < deployment.entries.length) {
      print(`     WRONG: ${addresses.length} of ${deployment.entries.length} entries are listed`)
      faults += 1
    }
    for (const { title, pauseMs = 0, request, findFault } of STEPS) {
      await new Promise((resolve) => setTimeout(resolve, pauseMs))
      const answer = await caller.send(request)
      const fault = findFault(answer, answers)
      answers.push(answer)
      print(`  ${title}`)
      print(`     ${request.method} /${deployment.customer}/${request.service}${request.path}`)
      print(`     ${answer.status} fate=${answer.fate} target=${answer.headers['x-target'] ?? '-'} ${describeBody(answer)}`)
      if (fault === undefined) continue
      print(`     WRONG: ${fault}`)
      faults += 1
    }
  } finally {
    await caller.close()
  }
  return faults
}
