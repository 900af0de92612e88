/**
 * Baseline policies that the replay tool plays itself: a virtual entry selects the target of each request, and the
 * caller sends the request straight to it.
 */
import { Agent } from 'undici'
import { sendAttempt } from './caller.ts'
import type { Caller, CallerResponse, CallerRequest } from './caller.ts'
import type { TargetHost } from './deployment.ts'

/** Load-balancing policies. `entry` is the system itself; the others are baselines. */
export const POLICIES = ['entry', 'random', 'round-robin', 'two-choices', 'least-in-flight', 'latency-weighted', 'all-knowing'] as const
/** The name of a policy. */
export type Policy = typeof POLICIES[number]
/** A policy that the replay tool plays. */
export type DirectPolicy = Exclude<Policy, 'entry'>

const LATENCY_SMOOTHING = 0.1

interface TargetView { target: TargetHost, inFlight: number, latencyMs: number }

/** The local view that one virtual entry has of the targets of one service. */
type View = TargetView[]

function createView (targets: readonly TargetHost[]): View {
  return targets.map((target) => ({ target, inFlight: 0, latencyMs: 0 }))
}

function selectRandom (view: View, random: () => number): TargetView | undefined {
  return view[Math.floor(random() * view.length)]
}

/**
 * Returns the target with the lowest score; the search starts at a random target, so that ties do not favour the first.
 */
function selectLowest (view: View, random: () => number, computeScore: (target: TargetView) => number): TargetView | undefined {
  const start = Math.floor(random() * view.length)
  const rotated = [...view.slice(start), ...view.slice(0, start)]
  return rotated.reduce<TargetView | undefined>((best, target) => best && computeScore(best) <= computeScore(target) ? best : target, undefined)
}

function selectTarget (policy: DirectPolicy, view: View, requestIndex: number, random: () => number): TargetView | undefined {
  switch (policy) {
    case 'random': return selectRandom(view, random)
    case 'round-robin': return view[requestIndex % view.length]
    case 'two-choices': {
      const pair = [selectRandom(view, random), selectRandom(view, random)].flatMap((target) => target ?? [])
      return selectLowest(pair, random, ({ inFlight }) => inFlight)
    }
    case 'least-in-flight':
    case 'all-knowing': return selectLowest(view, random, ({ inFlight }) => inFlight)
    case 'latency-weighted': return selectLowest(view, random, ({ inFlight, latencyMs }) => (inFlight + 1) * latencyMs)
  }
}

/** Callers of a baseline, which send straight to the targets. */
export interface DirectCallers {
  createCaller(id: string): Caller
  close(): Promise<void>
}

/** Options of `createDirectCallers`. */
export interface DirectCallersOptions {
  policy: DirectPolicy
  targets: readonly TargetHost[]
  /**
   * Number of virtual entries that the callers are spread over, each with its own local view. The policy `all-knowing`
   * uses a single view for all callers.
   */
  entryCount: number
  /** Returns numbers from 0 to below 1. */
  random: () => number
}

/** Creates the callers of a baseline; sending throws when the service of a request has no target. */
export function createDirectCallers (options: DirectCallersOptions): DirectCallers {
  const { policy, targets, random } = options
  const agent = new Agent()
  const services = [...new Set(targets.map(({ service }) => service))]
  const viewCount = policy === 'all-knowing' ? 1 : options.entryCount
  const views = Array.from({ length: viewCount }, () => new Map(services.map((service) => [service, createView(targets.filter((target) => target.service === service))])))
  let callerCount = 0
  let requestIndex = Math.floor(random() * targets.length)

  const send = async (views: Map<string, View>, callerRequest: CallerRequest): Promise<CallerResponse> => {
    const selected = selectTarget(policy, views.get(callerRequest.service) ?? [], requestIndex++, random)
    if (!selected) throw new Error(`The service "${callerRequest.service}" has no targets.`)
    const startedMs = performance.now()
    selected.inFlight += 1
    const { attempt, response } = await sendAttempt(agent, selected.target, '', callerRequest)
    selected.inFlight -= 1
    const requestLatencyMs = performance.now() - startedMs
    selected.latencyMs = selected.latencyMs === 0 ? requestLatencyMs : selected.latencyMs * (1 - LATENCY_SMOOTHING) + requestLatencyMs * LATENCY_SMOOTHING
    return { status: undefined, executionStatus: undefined, headers: {}, text: '', bytes: 0, sha256: '', ...response, attempts: [attempt] }
  }
  return {
    createCaller (id) {
      const view = views[callerCount++ % viewCount] ?? new Map()
      return { id, listAddresses: async () => [], send: (callerRequest) => send(view, callerRequest), close: async () => {} }
    },
    close: () => agent.destroy()
  }
}
