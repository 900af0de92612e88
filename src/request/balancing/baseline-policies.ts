/**
 * Common load-balancing policies that the replay tool and the bench compare against. The product never uses them.
 */

/** Names of the policies. */
export const BASELINE_KINDS = ['random', 'round-robin', 'two-choices', 'least-in-flight', 'latency-weighted'] as const
/** The name of a policy. */
export type BaselineKind = typeof BASELINE_KINDS[number]

/** A policy at one entry. */
export interface BaselinePolicy {
  /** Selects a target outside `exclude` and counts the request as in flight there; undefined when none is left. */
  select(exclude: ReadonlySet<string>): string | undefined
  /** Stops counting a request as in flight at a target; `latencyMs` is omitted when there was no response. */
  finish(target: string, latencyMs?: number): void
}

interface BaselineTarget { id: string, inFlight: number, latencyMs: number }

const LATENCY_SMOOTHING = 0.2
const INITIAL_LATENCY_MS = 20

function selectLowest (targets: readonly BaselineTarget[], computeScore: (target: BaselineTarget) => number, random: () => number): BaselineTarget | undefined {
  const scores = targets.map(computeScore)
  const lowest = Math.min(...scores)
  const best = targets.filter((_, index) => scores[index] === lowest)
  return selectRandom(best, random)
}

function selectRandom (targets: readonly BaselineTarget[], random: () => number): BaselineTarget | undefined {
  return targets[Math.floor(random() * targets.length)]
}

function countInFlight (target: BaselineTarget): number {
  return target.inFlight
}

function computeLatencyLoad (target: BaselineTarget): number {
  return (target.inFlight + 1) * target.latencyMs
}

/** Creates a policy; `random` returns numbers in [0, 1). */
export function createBaselinePolicy (kind: BaselineKind, targetIds: readonly string[], random: () => number): BaselinePolicy {
  const targets = targetIds.map((id): BaselineTarget => ({ id, inFlight: 0, latencyMs: INITIAL_LATENCY_MS }))
  const byId = new Map(targets.map((target) => [target.id, target]))
  let nextIndex = Math.floor(random() * targets.length)

  const selectFrom = (candidates: BaselineTarget[]): BaselineTarget | undefined => {
    switch (kind) {
      case 'random': return selectRandom(candidates, random)
      case 'round-robin': return candidates[nextIndex++ % candidates.length]
      case 'two-choices': {
        const pair = [selectRandom(candidates, random), selectRandom(candidates, random)].filter((target) => target !== undefined)
        return selectLowest(pair, countInFlight, random)
      }
      case 'least-in-flight': return selectLowest(candidates, countInFlight, random)
      case 'latency-weighted': return selectLowest(candidates, computeLatencyLoad, random)
    }
  }
  return {
    select (exclude) {
      const target = selectFrom(exclude.size === 0 ? targets : targets.filter(({ id }) => !exclude.has(id)))
      if (target) target.inFlight += 1
      return target?.id
    },
    finish (id, latencyMs) {
      const target = byId.get(id)
      if (!target) return
      target.inFlight -= 1
      if (latencyMs !== undefined) target.latencyMs += (latencyMs - target.latencyMs) * LATENCY_SMOOTHING
    }
  }
}
