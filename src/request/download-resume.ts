/**
 * Goes on with a broken download at another target, by range and strong entity tag.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { startAttempt } from './attempt.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import type { AnswerHead } from './exchange.ts'

const STATUS_OK = 200
const STATUS_PARTIAL = 206

/** What a download must match to be continued. */
export interface ResumePoint { etag: string, totalBytes: number }

/** Returns the strong entity tag; weak ones do not promise equal bytes. */
function getStrongTag (headers: IncomingHttpHeaders): string | undefined {
  const { etag } = headers
  return etag?.startsWith('"') ? etag : undefined
}

/** Returns what is needed to continue an answer; undefined when it cannot be. */
export function findResumePoint (call: Call, head: AnswerHead): ResumePoint | undefined {
  const etag = getStrongTag(head.headers)
  const totalBytes = Number(head.headers['content-length'])
  const isPlain = head.headers['content-encoding'] === undefined
  const isWholeGet = call.operation.repeatable && call.method === 'GET' && head.status === STATUS_OK
  if (!isWholeGet || !isPlain || !etag || !Number.isSafeInteger(totalBytes)) return undefined
  return { etag, totalBytes }
}

/** Whether an answer is just the missing rest of the download. */
function isMissingRest (head: AnswerHead, point: ResumePoint, receivedBytes: number): boolean {
  const wantedRange = `bytes ${receivedBytes}-${point.totalBytes - 1}/${point.totalBytes}`
  const wantedLength = String(point.totalBytes - receivedBytes)
  const { headers } = head
  return head.status === STATUS_PARTIAL &&
    headers['content-range'] === wantedRange &&
    headers['content-length'] === wantedLength &&
    getStrongTag(headers) === point.etag
}

/** Asks for the missing rest, as a retry within the budget; undefined when it cannot be had. */
export async function resumeDownload (call: Call, point: ResumePoint, receivedBytes: number): Promise<Attempt | undefined> {
  if (receivedBytes >= point.totalBytes || !call.links.targets.takeRetry(call.firstAttempt - 1 + call.tried.size)) return undefined
  const deadlineMs = call.clock.monotonicMs() + call.operation.deadlineMs
  const attempt = await startAttempt({ ...call, deadlineMs }, {
    number: call.firstAttempt + call.tried.size,
    mayWait: true,
    needsProof: true,
    extraHeaders: { range: `bytes=${receivedBytes}-`, 'if-range': point.etag }
  })
  if (attempt.isErr()) return undefined
  const head = await attempt.value.head
  if (head.isErr()) return undefined
  if (isMissingRest(head.value, point, receivedBytes)) return attempt.value
  attempt.value.cancel()
  return undefined
}
