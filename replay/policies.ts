/**
 * Baselines that the replay tool itself plays: callers go to the targets directly, and six virtual entries choose.
 */
import { Agent } from 'undici'
import { sendAttempt } from './caller.ts'
import type { Caller, CallerAnswer, CallerRequest } from './caller.ts'
import type { TargetHost } from './deployment.ts'

/** How a target is chosen. `entry` is the system itself. */
export const POLICIES = ['entry', 'random', 'round-robin', 'two-choices', 'least-in-flight', 'latency-weighted', 'all-knowing'] as const
/** The name of a policy. */
export type Policy = typeof POLICIES[number]
/** A policy that the replay tool plays. */
export type DirectPolicy = Exclude<Policy, 'entry'>

const LATENCY_SHARE = 0.1

interface TargetView { target: TargetHost, inFlight: number, latencyMs: number }

/** What one virtual entry knows of the targets of one service. */
type View = TargetView[]

function createView (targets: readonly TargetHost[]): View {
  return targets.map((target) => ({ target, inFlight: 0, latencyMs: 0 }))
}

function chooseOne (view: View, random: () => number): TargetView | undefined {
  return view[Math.floor(random() * view.length)]
}

/** Returns the target with the lowest score, a random one of equals. */
function chooseLowest (view: View, random: () => number, computeScore: (target: TargetView) => number): TargetView | undefined {
  const start = Math.floor(random() * view.length)
  const turned = [...view.slice(start), ...view.slice(0, start)]
  return turned.reduce<TargetView | undefined>((best, target) => best && computeScore(best) <= computeScore(target) ? best : target, undefined)
}

function chooseTarget (policy: DirectPolicy, view: View, turn: number, random: () => number): TargetView | undefined {
  switch (policy) {
    case 'random': return chooseOne(view, random)
    case 'round-robin': return view[turn % view.length]
    case 'two-choices': {
      const pair = [chooseOne(view, random), chooseOne(view, random)].flatMap((target) => target ?? [])
      return chooseLowest(pair, random, ({ inFlight }) => inFlight)
    }
    case 'least-in-flight':
    case 'all-knowing': return chooseLowest(view, random, ({ inFlight }) => inFlight)
    case 'latency-weighted': return chooseLowest(view, random, ({ inFlight, latencyMs }) => (inFlight + 1) * latencyMs)
  }
}

/** Creates callers that go to the targets directly. */
export interface DirectCallers {
  createCaller(id: string): Caller
  close(): Promise<void>
}

/** How to create direct callers. */
export interface DirectCallersOptions {
  policy: DirectPolicy
  targets: readonly TargetHost[]
  /** Virtual entries over which callers are spread, each with its own view; one for `all-knowing`. */
  entryCount: number
  random: () => number
}

/** Creates the callers of a baseline. */
export function createDirectCallers (options: DirectCallersOptions): DirectCallers {
  const { policy, targets, random } = options
  const agent = new Agent()
  const services = [...new Set(targets.map(({ service }) => service))]
  const viewCount = policy === 'all-knowing' ? 1 : options.entryCount
  const views = Array.from({ length: viewCount }, () => new Map(services.map((service) => [service, createView(targets.filter((target) => target.service === service))])))
  let created = 0
  let turn = Math.floor(random() * targets.length)

  const send = async (views: Map<string, View>, wanted: CallerRequest): Promise<CallerAnswer> => {
    const chosen = chooseTarget(policy, views.get(wanted.service) ?? [], turn++, random)
    if (!chosen) throw new Error(`There is no target for ${wanted.service}.`)
    const startedMs = performance.now()
    chosen.inFlight += 1
    const { attempt, answer } = await sendAttempt(agent, chosen.target, '', wanted)
    chosen.inFlight -= 1
    const tookMs = performance.now() - startedMs
    chosen.latencyMs = chosen.latencyMs === 0 ? tookMs : chosen.latencyMs * (1 - LATENCY_SHARE) + tookMs * LATENCY_SHARE
    return { status: undefined, fate: undefined, headers: {}, text: '', bytes: 0, sha256: '', ...answer, attempts: [attempt] }
  }
  return {
    createCaller (id) {
      const view = views[created++ % viewCount] ?? new Map()
      return { id, listAddresses: async () => [], send: (wanted) => send(view, wanted), close: async () => {} }
    },
    close: () => agent.destroy()
  }
}
