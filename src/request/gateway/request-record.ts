/**
 * What is kept of a request until its log line: the inputs of each decision, and its end.
 */
import type { LoadReport } from '../placement/load-report.ts'

/** One attempt at a target. Times in ms. */
export interface AttemptRecord {
  target: string
  /** Why this target was chosen. */
  reason: string
  /** How long the request waited for this place. */
  waitedMs: number
  /** How long the answer should have taken. */
  expectedMs: number
  /** The load that the target had told, and its age when the choice was made. */
  load: LoadReport | undefined
  loadAgeMs: number
  /** When the attempt was sent, after the start of the request. */
  startedMs: number
  /** How the attempt ended; `pending` until then. */
  end: string
  status: number | undefined
}

/** One request. Times in ms. */
export interface RequestRecord {
  id: string
  route: string
  service: string
  /** The version of the configuration that it began with. */
  version: number
  /** How long it might take at its start. */
  leftMs: number
  attempts: AttemptRecord[]
  /** Kind of the error that was answered. */
  error?: string
  detail?: string
  /** Status that the caller got. */
  status?: number
  /** What became of the answer: `whole`, `broken`, or `caller-gone`. */
  end?: string
  tookMs: number
}
