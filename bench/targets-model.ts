/**
 * Servers, callers and entries of the bench of target choices, as discrete events in one process. It measures the
 * decisions alone: there are no sockets and no processes.
 */
import { createWorkSlots } from '../stand-ins/target-slots.ts'
import type { WorkSlots } from '../stand-ins/target-slots.ts'
import type { Cancel } from '../src/types.ts'
import type { EventClock } from './targets-clock.ts'
import { computeExponential } from './targets-random.ts'

/** A request at a server: where it is, and how to take it back. */
export interface Placed { cancel: Cancel }

/** A server of the bench. */
export interface BenchServer {
  id: string
  zone: number
  /** Requests on their way, waiting and running. */
  load: number
  /** Whether it answers with an error at once. */
  isFailing: boolean
  /** Sends a request of `workMs`; `finish` is called when its answer is back. */
  send(workMs: number, finish: (isGood: boolean) => void): Placed
  updateSpeed(speed: number): void
}

/** How the servers slow down. */
export interface SlowDowns {
  /** How many times slower. */
  factor: number
  /** How long an episode takes, in ms. */
  durationMs: number
  /** Mean time between episodes, in ms. */
  everyMs: number
  /** Whether neighbours slow all servers of a zone together. */
  byZone: boolean
}

const WIRE_MS = 1
const FAST_ERROR_MS = 1
const SLOTS = 4

/** Creates an idle server. */
export function createBenchServer (clock: EventClock, id: string, zone: number): BenchServer {
  const slots: WorkSlots = createWorkSlots(clock, SLOTS)
  const server: BenchServer = {
    id,
    zone,
    load: 0,
    isFailing: false,
    updateSpeed: (speed) => slots.updateSpeed(speed),
    send (workMs, finish) {
      let isOver = false
      let cancelJob: Cancel = () => {}
      const stop = (): boolean => {
        if (isOver) return false
        isOver = true
        server.load -= 1
        return true
      }
      const answer = (isGood: boolean): void => {
        if (stop()) clock.startTimer(WIRE_MS, () => finish(isGood))
      }
      server.load += 1
      clock.startTimer(WIRE_MS, () => {
        if (isOver) return
        if (server.isFailing) clock.startTimer(FAST_ERROR_MS, () => answer(false))
        else cancelJob = slots.add({ workMs, start () {}, drop () {}, finish: () => answer(true) })
      })
      return {
        cancel: () => clock.startTimer(WIRE_MS, () => {
          if (stop()) cancelJob()
        })
      }
    }
  }
  return server
}

/** Slows servers down now and then, each alone or a whole zone at once. */
export function startSlowDowns (clock: EventClock, servers: readonly BenchServer[], slow: SlowDowns, random: () => number): void {
  const zones = [...new Set(servers.map((server) => server.zone))]
  const groups = slow.byZone
    ? zones.map((zone) => servers.filter((server) => server.zone === zone))
    : servers.map((server) => [server])
  for (const group of groups) {
    const startNext = () => clock.startTimer(computeExponential(random, slow.everyMs), () => {
      for (const server of group) server.updateSpeed(1 / slow.factor)
      clock.startTimer(slow.durationMs, () => {
        for (const server of group) server.updateSpeed(1)
        startNext()
      })
    })
    startNext()
  }
}
