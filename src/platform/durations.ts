/**
 * Parses and formats durations as the platform writes them: a number and its unit, such as `1500ms` or `2.5s`.
 */

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/
const MS_PER_SECOND = 1000
/** The longest duration, in ms. Timers of Node.js hold twice as much, so that a margin can be added. */
const MAX_DURATION_MS = 1_000_000_000

/** Parses a duration to milliseconds; returns undefined when the value is not a duration of at most `MAX_DURATION_MS`. */
export function parseDurationMs (text: unknown): number | undefined {
  if (typeof text !== 'string') return undefined
  const match = DURATION_PATTERN.exec(text)
  if (!match) return undefined
  const amount = Number(match[1])
  const durationMs = match[2] === 's' ? amount * MS_PER_SECOND : amount
  return durationMs <= MAX_DURATION_MS ? durationMs : undefined
}

/** Formats milliseconds as a duration, rounded to whole milliseconds. */
export function formatDuration (durationMs: number): string {
  return `${Math.round(durationMs)}ms`
}
