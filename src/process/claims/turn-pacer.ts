/**
 * Spreads appends over time, so that one process stays under its share of what the log takes.
 */
import type { Clock } from '../../clock.ts'

const MS_PER_SECOND = 1_000

/** Options of a pacer. */
export interface TurnPacerOptions {
  clock: Clock
  /** Turns a second in the long run. */
  perSecond: number
  /** Turns that may be taken at once after a pause. */
  burst: number
}

/** Gives out turns at a bounded rate. */
export interface TurnPacer {
  /** Resolves when it is this caller's turn; callers are served in order. */
  takeTurn(): Promise<void>
  /** Lets all waiting callers go at once, and later ones too. */
  close(): void
}

/** Creates a pacer that starts with a full burst. */
export function createTurnPacer (options: TurnPacerOptions): TurnPacer {
  const { clock, perSecond, burst } = options
  const waiting: (() => void)[] = []
  let turns = burst
  let countedAtMs = clock.monotonicMs()
  let hasTimer = false

  const addEarnedTurns = (): void => {
    const nowMs = clock.monotonicMs()
    turns = Math.min(Math.max(burst, turns), turns + (nowMs - countedAtMs) * perSecond / MS_PER_SECOND)
    countedAtMs = nowMs
  }
  const serveWaiting = (): void => {
    addEarnedTurns()
    while (waiting.length > 0 && (turns >= 1)) {
      turns -= 1
      waiting.shift()?.()
    }
    if (waiting.length === 0 || hasTimer) return
    hasTimer = true
    clock.startTimer(Math.ceil((1 - turns) * MS_PER_SECOND / perSecond), () => {
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
      turns = Number.POSITIVE_INFINITY
      serveWaiting()
    }
  }
}
