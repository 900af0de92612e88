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

/** Calls `stop` when the caller leaves, or at the end of the process. */
function watchEnd ({ caller, shutdown }: GatewayCall, stop: (error: AppError) => void): Cancel {
  const stopWatchingCaller = caller.watchDisconnect(() => stop(createError('target-broken', 'The caller closed its connection before the response.')))
  const stopWatchingShutdown = shutdown.watchResponseBy(() => stop(createError('entry-stopped', 'This entry shut down before the response was complete.')))
  return () => {
    stopWatchingCaller()
    stopWatchingShutdown()
  }
}

/** Reads a body while the time for its response lasts; calls `handleDeadline` when it is over. */
async function readHeld (call: GatewayCall, { attempt }: StartedResponse, body: HeldBody, maxBytes: number, handleDeadline: (stop: (error: AppError) => void) => void): Promise<void> {
  const { clock, deadlineAtMs } = call
  const stop = (error: AppError): void => {
    attempt.cancel()
    body.fail(error)
  }
  const cancelDeadline = clock.startTimer(Math.max(0, deadlineAtMs - clock.monotonicMs()), () => handleDeadline(stop))
  const stopWatching = watchEnd(call, stop)
  await body.read(maxBytes)
  cancelDeadline()
  stopWatching()
}

/** Reads a body of limited size. One that is not complete at the deadline has failed. */
function readWaiting (call: GatewayCall, response: StartedResponse, body: HeldBody): Promise<void> {
  return readHeld(call, response, body, MAX_WAITING_BODY_BYTES, (stop) => {
    stop(createError('route-timeout', 'The response did not end before the deadline, while others wait behind it on the connection.'))
  })
}

/**
 * Reads the rest of a response whose turn it is, while targets work on requests behind it: these would be lost with the connection.
 * What is not complete at the deadline is relayed as it comes, as is one that is too large or has no memory. Returns the memory taken.
 */
async function readCurrent (call: GatewayCall, response: StartedResponse, body: HeldBody): Promise<number> {
  const reservedBytes = computeReservedBytes(response, MAX_CURRENT_BODY_BYTES)
  if (reservedBytes === undefined || !call.place.tryHoldCurrent(reservedBytes)) return 0
  await readHeld(call, response, body, MAX_CURRENT_BODY_BYTES, () => body.stopReading())
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
    await readWaiting(call, response, body)
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
