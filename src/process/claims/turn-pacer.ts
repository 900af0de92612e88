/**
 * Token bucket that paces the appends of one process, so that it stays within its share of the log's append rate.
 */
import type { Clock } from '../../clock.ts'

const MS_PER_SECOND = 1_000

/** Options for a pacer. */
export interface TurnPacerOptions {
  clock: Clock
  /** Average number of tokens a second. */
  perSecond: number
  /** Maximum number of tokens taken at once after an idle time. */
  burst: number
}

/** Grants tokens at a limited rate. */
export interface TurnPacer {
  /** Resolves when the caller has a turn; callers are served in order. */
  takeTurn(): Promise<void>
  /** Grants a turn to all waiting and later callers at once. */
  close(): void
}

/** Creates a pacer that starts with a full burst. */
export function createTurnPacer (options: TurnPacerOptions): TurnPacer {
  const { clock, perSecond, burst } = options
  const waiting: (() => void)[] = []
  let tokens = burst
  let refilledAtMs = clock.monotonicMs()
  let hasTimer = false

  const addTokens = (): void => {
    const nowMs = clock.monotonicMs()
    tokens = Math.min(Math.max(burst, tokens), tokens + (nowMs - refilledAtMs) * perSecond / MS_PER_SECOND)
    refilledAtMs = nowMs
  }
  const serveWaiting = (): void => {
    addTokens()
    while (waiting.length > 0 && (tokens >= 1)) {
      tokens -= 1
      waiting.shift()?.()
    }
    if (waiting.length === 0 || hasTimer) return
    hasTimer = true
    clock.startTimer(Math.ceil((1 - tokens) * MS_PER_SECOND / perSecond), () => {
      hasTimer = false
      serveWaiting()
    })
  }
  return {
    takeTurn: () => new Promise((resolve) => {
      waiting.push(resolve)
      serveWaiting()
    }),
    close () {
      tokens = Number.POSITIVE_INFINITY
      serveWaiting()
    }
  }
}
