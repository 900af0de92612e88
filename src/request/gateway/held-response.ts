/**
 * Holds a target's response when other requests wait on the caller's connection: behind others until its turn, and before
 * others until it is complete, so that a truncated response becomes an error and the connection stays open for those behind.
 */
import { createError } from '../../errors.ts'
import type { AppError } from '../../errors.ts'
import type { Cancel } from '../../types.ts'
import type { GatewayCall } from './gateway-call.ts'
import { createHeldBody } from './held-body.ts'
import type { HeldBody } from './held-body.ts'
import type { StartedResponse } from './run-attempts.ts'

/** A response to relay. */
export interface HeldResponse {
  response: StartedResponse
  /** How long it has waited, in ms. */
  heldMs: number
  /** Gives back the memory of a large body; call it when the caller has taken the response or left. */
  release(): void
}

/** A larger body stays at its target until its turn, in bytes. */
const MAX_WAITING_BODY_BYTES = 65_536
/** A larger body is relayed as it comes in its turn, in bytes: the largest downloads of the deployments are a little smaller. */
const MAX_CURRENT_BODY_BYTES = 589_824
/** Largest part of a body that arrives at once, in bytes. */
const MAX_PART_BYTES = 65_536

function getAnnouncedBytes ({ head }: StartedResponse): number | undefined {
  const announced = head.headers['content-length']
  return announced === undefined ? undefined : Number(announced)
}

/** Returns the memory to reserve for a body of which up to `maxBytes` are held; undefined for one that is larger. */
function computeReservedBytes (response: StartedResponse, maxBytes: number): number | undefined {
  const announcedBytes = getAnnouncedBytes(response)
  if (announcedBytes === undefined) return maxBytes + MAX_PART_BYTES
  return announcedBytes <= maxBytes ? announcedBytes : undefined
}

/** Calls `fail` when the caller leaves, or at the end of the process. */
function watchEnd ({ caller, shutdown }: GatewayCall, fail: (error: AppError) => void): Cancel {
  const stopWatchingCaller = caller.watchDisconnect(() => fail(createError('target-broken', 'The caller closed its connection before the response.')))
  const stopWatchingShutdown = shutdown.watchResponseBy(() => fail(createError('entry-stopped', 'This entry shut down before the response was complete.')))
  return () => {
    stopWatchingCaller()
    stopWatchingShutdown()
  }
}

/** What is read of a body, and what becomes of one that is not complete at the deadline of its request: it fails, or is passed on as it comes. */
interface ReadTerms { maxBytes: number, atDeadline: 'fail' | 'pass-on' }

/** Reads a body until it has ended, or the terms, the caller or the end of the process stop the reading. */
async function readHeld (call: GatewayCall, { attempt }: StartedResponse, body: HeldBody, { maxBytes, atDeadline }: ReadTerms): Promise<void> {
  const { clock, deadlineAtMs } = call
  const fail = (error: AppError): void => {
    attempt.cancel()
    body.fail(error)
  }
  const handleDeadline = (): void => {
    if (atDeadline === 'pass-on') body.stopReading()
    else fail(createError('route-timeout', 'The response did not end before the deadline, while others wait behind it on the connection.'))
  }
  const cancelDeadline = clock.startTimer(Math.max(0, deadlineAtMs - clock.monotonicMs()), handleDeadline)
  const stopWatching = watchEnd(call, fail)
  await body.read(maxBytes)
  cancelDeadline()
  stopWatching()
}

/**
 * Reads the rest of a response whose turn it is, while targets work on requests behind it: these would be lost with the connection.
 * One that is too large, or has no memory, is not read. Returns the memory taken, in bytes.
 */
async function readCurrent (call: GatewayCall, response: StartedResponse, body: HeldBody): Promise<number> {
  const reservedBytes = computeReservedBytes(response, MAX_CURRENT_BODY_BYTES)
  if (reservedBytes === undefined || !call.place.tryHoldCurrent(reservedBytes)) return 0
  await readHeld(call, response, body, { maxBytes: MAX_CURRENT_BODY_BYTES, atDeadline: 'pass-on' })
  return reservedBytes
}

/** Holds a response of limited size until its turn; a larger one stays at its target. */
async function waitForTurn (call: GatewayCall, response: StartedResponse, body: HeldBody): Promise<void> {
  const { place } = call
  let reservedBytes = computeReservedBytes(response, MAX_WAITING_BODY_BYTES)
  if (reservedBytes === undefined || !place.tryHold(reservedBytes)) {
    await place.waitTurn()
    return
  }
  try {
    await readHeld(call, response, body, { maxBytes: MAX_WAITING_BODY_BYTES, atDeadline: 'fail' })
    const spareBytes = Math.max(0, reservedBytes - body.getHeldBytes())
    place.releaseHeld(spareBytes)
    reservedBytes -= spareBytes
    await place.waitTurn()
  } finally {
    place.releaseHeld(reservedBytes)
  }
}

/** Resolves when the response may be relayed, at once if no other request waits on the connection, or when the request is dropped. */
export async function keepResponse (call: GatewayCall, response: StartedResponse): Promise<HeldResponse> {
  const { place, clock } = call
  const { exchange } = response.attempt
  if (!exchange || (place.isFirst() && !place.hasFollowers())) {
    place.startRelay()
    return { response, heldMs: 0, release: () => undefined }
  }
  const startedAtMs = clock.monotonicMs()
  const body = createHeldBody(exchange)
  await waitForTurn(call, response, body)
  const canCutFollowers = !body.hasEnded() && place.hasPassedOnFollowers()
  const currentBytes = canCutFollowers ? await readCurrent(call, response, body) : 0
  if (!body.hasEnded()) place.startRelay()
  return {
    response: { ...response, attempt: { ...response.attempt, exchange: body.exchange } },
    heldMs: clock.monotonicMs() - startedAtMs,
    release: () => place.releaseCurrent(currentBytes)
  }
}
