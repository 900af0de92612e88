/**
 * Simulated servers of the target selection bench. Everything runs as discrete events in one process, without sockets,
 * so that the bench measures the decisions alone.
 */
import { createWorkSlots } from '../stand-ins/target-slots.ts'
import type { WorkSlots } from '../stand-ins/target-slots.ts'
import type { Cancel } from '../src/types.ts'
import type { EventClock } from './targets-clock.ts'
import { computeExponential } from './targets-random.ts'

/** A request that was sent to a server. `cancel` reaches the server after the network delay. */
export interface SentRequest { cancel: Cancel }

/** A simulated server. */
export interface BenchServer {
  id: string
  zone: number
  /** Requests sent and not yet finished: on the network, queued or running. */
  load: number
  /** Whether the server responds to every request with an error at once. */
  isFailing: boolean
  /** Sends a request that takes `workMs` of work; `finish` is called when the response has arrived. */
  send(workMs: number, finish: (isSuccess: boolean) => void): SentRequest
  /** Sets the speed of the server: 1 is full speed, 0.5 takes twice as long. */
  updateSpeed(speed: number): void
}

/** When and how much servers slow down. */
export interface Slowdowns {
  /** Factor by which work takes longer. */
  factor: number
  /** Duration of one slowdown, in ms. */
  durationMs: number
  /** Mean time from the end of one slowdown to the next, in ms. */
  everyMs: number
  /** Whether all servers of a zone slow down together, instead of each alone. */
  byZone: boolean
}

const NETWORK_DELAY_MS = 1
const ERROR_DELAY_MS = 1
const SLOT_COUNT = 4

/** Creates an idle server with 4 slots. */
export function createBenchServer (clock: EventClock, id: string, zone: number): BenchServer {
  const slots: WorkSlots = createWorkSlots(clock, SLOT_COUNT)
  const server: BenchServer = {
    id,
    zone,
    load: 0,
    isFailing: false,
    updateSpeed: (speed) => slots.updateSpeed(speed),
    send (workMs, finish) {
      let isDone = false
      let cancelJob: Cancel = () => {}
      const settleOnce = (): boolean => {
        if (isDone) return false
        isDone = true
        server.load -= 1
        return true
      }
      const sendResponse = (isSuccess: boolean): void => {
        if (settleOnce()) clock.startTimer(NETWORK_DELAY_MS, () => finish(isSuccess))
      }
      server.load += 1
      clock.startTimer(NETWORK_DELAY_MS, () => {
        if (isDone) return
        if (server.isFailing) clock.startTimer(ERROR_DELAY_MS, () => sendResponse(false))
        else cancelJob = slots.add({ workMs, start () {}, drop () {}, finish: () => sendResponse(true) })
      })
      return {
        cancel: () => clock.startTimer(NETWORK_DELAY_MS, () => {
          if (settleOnce()) cancelJob()
        })
      }
    }
  }
  return server
}

/** Starts random slowdowns, of each server alone or of all servers of a zone together. */
export function startSlowdowns (clock: EventClock, servers: readonly BenchServer[], slowdowns: Slowdowns, random: () => number): void {
  const zones = [...new Set(servers.map((server) => server.zone))]
  const groups = slowdowns.byZone
    ? zones.map((zone) => servers.filter((server) => server.zone === zone))
    : servers.map((server) => [server])
  for (const group of groups) {
    const scheduleNext = () => clock.startTimer(computeExponential(random, slowdowns.everyMs), () => {
      for (const server of group) server.updateSpeed(1 / slowdowns.factor)
      clock.startTimer(slowdowns.durationMs, () => {
        for (const server of group) server.updateSpeed(1)
        scheduleNext()
      })
    })
    scheduleNext()
  }
}
