/**
 * Parses and formats durations as the platform writes them: a number and its unit, such as `1500ms` or `2.5s`.
 */

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/
const MS_PER_SECOND = 1000

/** Parses a duration to milliseconds; returns undefined when the value is not a duration. */
export function parseDurationMs (text: unknown): number | undefined {
  if (typeof text !== 'string') return undefined
  const match = DURATION_PATTERN.exec(text)
  if (!match) return undefined
  const amount = Number(match[1])
  return match[2] === 's' ? amount * MS_PER_SECOND : amount
}

/** Formats milliseconds as a duration, rounded to whole milliseconds. */
export function formatDuration (durationMs: number): string {
  return `${Math.round(durationMs)}ms`
}
