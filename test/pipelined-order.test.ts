import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { setImmediate as flush } from 'node:timers/promises'
import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createTestClock } from '../src/clock.ts'
import { createPipelinedRequests } from '../src/connection/pipelined-requests.ts'
import type { RequestPlace } from '../src/connection/pipelined-requests.ts'
import { createByteBudget } from '../src/process/byte-budget.ts'

/** Closes a simulated connection as soon as its last bytes are sent. */
const CLOSES = { close: (socket: Duplex, lastBytes?: string | Uint8Array) => { if (!socket.destroyed) socket.end(lastBytes, () => socket.destroy()) }, reset: (socket: Duplex) => { socket.destroy() } }
const MAX_STARTED = 16
const MAX_UNTAKEN_MS = 5_000
const SEED = 46

/** What happens on a connection. `work` ends the work of the target at one of the requests that were passed on. */
type Step =
  | { type: 'arrive', isIdempotent: boolean, count: number }
  | { type: 'work', choice: number }
  | { type: 'close' | 'shutdown' | 'garbage' }

interface SimulatedRequest { id: number, isIdempotent: boolean, isPassedOn: boolean, isAnswered: boolean, finishWork(): void }

/** A connection whose requests go through the steps of a gateway, with targets that work until they are told. */
function createSimulatedConnection () {
  const clock = createTestClock()
  const requests = createPipelinedRequests({ clock, budget: createByteBudget(1_000_000), closes: CLOSES })
  const socket = Object.assign(new EventEmitter(), {
    destroyed: false,
    finalResponses: 0,
    pause: () => undefined,
    destroy () {
      if (socket.destroyed) return
      socket.destroyed = true
      socket.emit('close')
    },
    end (_text: string, done: () => void) {
      socket.finalResponses += 1
      done()
    }
  })
  const sent: { id: number, isLast: boolean }[] = []
  const faults: string[] = []
  const known: SimulatedRequest[] = []
  const check = (isTrue: boolean, fault: string): void => { if (!isTrue) faults.push(fault) }
  const send = (request: SimulatedRequest, place: RequestPlace, outgoing: EventEmitter & { isLast: boolean, headersSent: boolean, writableEnded: boolean }): void => {
    check(sent.at(-1)?.isLast !== true && socket.finalResponses === 0, `response ${request.id} comes after the last one`)
    place.startResponse()
    outgoing.headersSent = true
    sent.push({ id: request.id, isLast: outgoing.isLast })
    outgoing.writableEnded = true
    request.isAnswered = true
    setImmediate(() => {
      if (socket.destroyed) return
      outgoing.emit('finish')
      if (outgoing.isLast) socket.destroy()
    })
  }
  const run = async (request: SimulatedRequest, place: RequestPlace, outgoing: Parameters<typeof send>[2]): Promise<void> => {
    await place.waitStart()
    await place.waitPassOn(request.isIdempotent)
    if (place.caller.isDisconnected()) return
    const ahead = known.filter(({ id }) => id < request.id)
    check(!socket.destroyed, `request ${request.id} is passed on although its connection is closed`)
    check(request.isIdempotent || ahead.every(({ isAnswered }) => isAnswered), `request ${request.id} may run twice`)
    request.isPassedOn = true
    check(known.filter(({ isPassedOn, isAnswered }) => isPassedOn && !isAnswered).length <= MAX_STARTED, 'too many requests are worked on')
    await new Promise<void>((resolve) => { request.finishWork = resolve })
    await place.waitTurn()
    if (!place.caller.isDisconnected()) send(request, place, outgoing)
  }
  const add = (isIdempotent: boolean): void => {
    const outgoing = Object.assign(new EventEmitter(), { headersSent: false, shouldKeepAlive: true, writableEnded: false, isLast: false, setHeader () { outgoing.isLast = true } })
    const place = requests.add({ socket, complete: true } as unknown as IncomingMessage, outgoing as unknown as ServerResponse)
    if (!place) return
    const request: SimulatedRequest = { id: known.length, isIdempotent, isPassedOn: false, isAnswered: false, finishWork: () => undefined }
    known.push(request)
    run(request, place, outgoing).catch((cause: unknown) => faults.push(String(cause)))
  }
  return { clock, requests, socket, sent, faults, known, add }
}

type SimulatedConnection = ReturnType<typeof createSimulatedConnection>

const isAtWork = ({ isPassedOn, isAnswered }: SimulatedRequest): boolean => isPassedOn && !isAnswered

function take ({ requests, socket, known, add }: SimulatedConnection, step: Step): void {
  switch (step.type) {
    case 'arrive':
      if (socket.destroyed || socket.finalResponses > 0) return
      for (let index = 0; index < step.count; index++) add(step.isIdempotent)
      return
    case 'work': {
      const atWork = known.filter(isAtWork)
      atWork[step.choice % atWork.length]?.finishWork()
      return
    }
    case 'close':
      socket.destroy()
      return
    case 'shutdown':
      requests.closeAfterResponses()
      return
    case 'garbage':
      requests.endReading(socket as unknown as Duplex, 'HTTP/1.1 400 Bad Request\r\n\r\n')
  }
}

const arrival = fc.record({ type: fc.constant('arrive' as const), isIdempotent: fc.boolean(), count: fc.constantFrom(1, 1, 1, 2, 3, 20) })
const work = fc.record({ type: fc.constant('work' as const), choice: fc.nat({ max: 1_000 }) })
const ending = fc.record({ type: fc.constantFrom('close' as const, 'shutdown' as const, 'garbage' as const) })
const steps = fc.array(fc.oneof({ weight: 10, arbitrary: arrival }, { weight: 8, arbitrary: work }, { weight: 1, arbitrary: ending }), { maxLength: 120 })

// Plays targets that end their work in any order, with connections that close, a shutdown and bytes that are no request.
test('whatever happens on a connection, responses come in order, none after the last one, and nothing can run twice', async () => {
  await fc.assert(fc.asyncProperty(steps, async (drawn) => {
    const connection = createSimulatedConnection()
    const { socket, sent, faults, known } = connection
    for (const step of drawn) {
      take(connection, step)
      await flush()
    }
    const isCut = socket.destroyed && sent.at(-1)?.isLast !== true && socket.finalResponses === 0
    for (let rounds = 0; rounds < 2 * known.length; rounds++) {
      for (const request of known) request.finishWork()
      await flush()
      await flush()
    }
    expect(faults).toEqual([])
    expect(sent.map(({ id }) => id)).toEqual(known.slice(0, sent.length).map(({ id }) => id))
    if (!isCut) expect(sent.length).toBe(known.length)
  }), { seed: SEED, numRuns: 300 })
})

// Plays a caller that sends sixteen requests and reads no response.
test('a caller that does not take a complete response while others wait behind it loses its connection after some time', async () => {
  const { clock, requests, socket } = createSimulatedConnection()
  const [first] = [true, false].map((isFirst) => {
    const outgoing = Object.assign(new EventEmitter(), { headersSent: isFirst, shouldKeepAlive: true, writableEnded: isFirst })
    return requests.add({ socket, complete: true } as unknown as IncomingMessage, outgoing as unknown as ServerResponse)
  })
  first?.watchTaken()
  await clock.advance(MAX_UNTAKEN_MS - 1)
  expect(socket.destroyed).toBe(false)
  await clock.advance(1)
  expect(socket.destroyed).toBe(true)
  expect(requests.report().unread).toBe(1)
})

test('responses that wait take memory from the common budget, and no more than a bound on one connection', () => {
  const budget = createByteBudget(600_000)
  const requests = createPipelinedRequests({ clock: createTestClock(), budget, closes: CLOSES })
  const addTo = (socket: EventEmitter): RequestPlace | undefined => {
    const outgoing = Object.assign(new EventEmitter(), { headersSent: false, shouldKeepAlive: true, writableEnded: false })
    return requests.add({ socket, complete: true } as unknown as IncomingMessage, outgoing as unknown as ServerResponse)
  }
  const [one, other] = [addTo(new EventEmitter()), addTo(new EventEmitter())]
  const countHeld = (place: RequestPlace | undefined): number => Array.from({ length: 20 }, () => place?.tryHold(60_000)).filter(Boolean).length
  expect([countHeld(one), countHeld(other)]).toEqual([8, 2])
  expect([budget.getTaken(), requests.report().heldBytes]).toEqual([600_000, 600_000])
  for (const [place, count] of [[one, 8], [other, 2]] as const) for (let round = 0; round < count; round++) place?.releaseHeld(60_000)
  expect([budget.getTaken(), requests.report().heldBytes]).toEqual([0, 0])
})
