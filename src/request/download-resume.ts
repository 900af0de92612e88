/**
 * Resumes a truncated download at another target by a range request with a strong entity tag.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { startAttempt } from './attempt.ts'
import type { Attempt } from './attempt.ts'
import type { Call } from './call.ts'
import type { ResponseHead } from './exchange.ts'

const STATUS_OK = 200
const STATUS_PARTIAL = 206

/** Strong entity tag and size that a resumed download must match. */
export interface ResumePoint { etag: string, totalBytes: number }

/** Returns the entity tag if it is strong; a weak one doesn't guarantee equal bytes. */
function getStrongTag (headers: IncomingHttpHeaders): string | undefined {
  const { etag } = headers
  return etag?.startsWith('"') ? etag : undefined
}

/** Returns the entity tag and size for resuming a response; undefined when it can't be resumed. */
export function findResumePoint (call: Call, head: ResponseHead): ResumePoint | undefined {
  const etag = getStrongTag(head.headers)
  const totalBytes = Number(head.headers['content-length'])
  const isUnencoded = head.headers['content-encoding'] === undefined
  const isFullGet = call.operation.repeatable && call.method === 'GET' && head.status === STATUS_OK
  if (!isFullGet || !isUnencoded || !etag || !Number.isSafeInteger(totalBytes)) return undefined
  return { etag, totalBytes }
}

/** Returns whether a response contains exactly the missing bytes of the download. */
function isRemainder (head: ResponseHead, point: ResumePoint, receivedBytes: number): boolean {
  const expectedRange = `bytes ${receivedBytes}-${point.totalBytes - 1}/${point.totalBytes}`
  const expectedLength = String(point.totalBytes - receivedBytes)
  const { headers } = head
  return head.status === STATUS_PARTIAL &&
    headers['content-range'] === expectedRange &&
    headers['content-length'] === expectedLength &&
    getStrongTag(headers) === point.etag
}

/** Requests the missing bytes as a retry within the retry budget; undefined when no target sends them. */
export async function resumeDownload (call: Call, point: ResumePoint, receivedBytes: number): Promise<Attempt | undefined> {
  if (receivedBytes >= point.totalBytes || !call.links.targets.tryAcquireRetry(call.firstAttemptNumber - 1 + call.triedTargets.size)) return undefined
  const deadlineMs = call.clock.monotonicMs() + call.operation.deadlineMs
  const attempt = await startAttempt({ ...call, deadlineMs }, {
    number: call.firstAttemptNumber + call.triedTargets.size,
    canWait: true,
    requiresLiveness: true,
    extraHeaders: { range: `bytes=${receivedBytes}-`, 'if-range': point.etag }
  })
  if (attempt.isErr()) return undefined
  const head = await attempt.value.head
  if (head.isErr()) return undefined
  if (isRemainder(head.value, point, receivedBytes)) return attempt.value
  attempt.value.cancel()
  return undefined
}
