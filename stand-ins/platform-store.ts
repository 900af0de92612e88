/**
 * A stand-in for the platform's store over HTTP, with its faults.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { setTimeout as wait } from 'node:timers/promises'
import { z } from 'zod'
import { parseDurationMs } from '../src/platform/durations.ts'
import { createPlatformGroup } from './platform-groups.ts'
import type { HeldPartition, PlatformGroup } from './platform-groups.ts'
import { createPlatformTopic, splitRecords } from './platform-log.ts'
import type { AppendResult, PlatformTopic, StoredRecord } from './platform-log.ts'

/** How the store misbehaves: it refuses, resets, keeps silent, or does what it is asked and loses the answer. */
export type StoreFault = 'none' | 'busy' | 'reset' | 'silent' | 'lost'

/** A running stand-in. */
export interface PlatformStore {
  port: number
  /** Appends a keyed record past all faults, as the operator and the targets do; no value drops the key. */
  put(topic: string, key: string, value?: unknown): void
  getTopic(name: string): PlatformTopic
  getGroup(name: string): PlatformGroup
  setFault(fault: StoreFault): void
  countCalls(): number
  close(): void
}

const PAGE_KEYS = 50
const SHORTEST_LIFETIME_MS = 1_000
/** Partitions of each topic that a group shares. */
const PART_COUNT = 12
const READ_POLL_MS = 5
const OFFSET_BYTES = 8
const LENGTH_BYTES = 4

function encodePage (topic: PlatformTopic, records: readonly StoredRecord[]): Buffer {
  const head = Buffer.alloc(2 * OFFSET_BYTES)
  head.writeBigUInt64BE(BigInt(topic.getEnd()), 0)
  head.writeBigUInt64BE(BigInt(topic.getFirst()), OFFSET_BYTES)
  const parts = records.flatMap(({ data }) => {
    const length = Buffer.alloc(LENGTH_BYTES)
    length.writeUInt32BE(data.length)
    return [length, data]
  })
  return Buffer.concat([head, ...parts])
}

function sendJson (outgoing: ServerResponse, status: number, body: unknown): void {
  outgoing.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function sendAppendResult (outgoing: ServerResponse, result: AppendResult): void {
  switch (result.type) {
    case 'appended': return sendJson(outgoing, 200, { offset: result.offset, end: result.end })
    case 'wrong-end': return sendJson(outgoing, 412, { end: result.end })
    case 'fenced': return sendJson(outgoing, 409, { why: 'fenced' })
    case 'wrong-sequence': return sendJson(outgoing, 409, { why: 'seq', sequence: result.expected })
  }
}

async function answerRead (topic: PlatformTopic, query: URLSearchParams, outgoing: ServerResponse): Promise<void> {
  const from = Number(query.get('from'))
  const untilMs = performance.now() + Number(query.get('waitMs') ?? 0)
  while (topic.getEnd() <= from && performance.now() < untilMs) await wait(READ_POLL_MS)
  const records = topic.listFrom(from)
  if (records) outgoing.writeHead(200).end(encodePage(topic, records))
  else sendJson(outgoing, 410, { first: topic.getFirst() })
}

function answerNewest (topic: PlatformTopic, query: URLSearchParams, outgoing: ServerResponse): void {
  const after = query.get('after')
  const left = topic.listNewest().filter(({ key }) => after === null || key > after)
  const items = left.slice(0, PAGE_KEYS).map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
  sendJson(outgoing, 200, { items, more: left.length > items.length, end: topic.getEnd() })
}

function answerAppend (topic: PlatformTopic, query: URLSearchParams, body: Buffer): AppendResult {
  const producer = query.get('producer')
  const revision = query.get('storeRevision')
  return topic.append(splitRecords(body), {
    ...(revision === null ? {} : { expectedEnd: Number(revision) }),
    ...(producer === null ? {} : { producer: { name: producer, epoch: Number(query.get('epoch')), sequence: Number(query.get('sequence')) } })
  })
}

const joinSchema = z.object({ group: z.string(), member: z.string(), topics: z.array(z.string()), ttl_time: z.string(), generation: z.number().int() })
const leaveSchema = z.object({ group: z.string(), member: z.string() })
const commitSchema = z.object({
  group: z.string(), member: z.string(), generation: z.number().int(), topic: z.string(), part: z.number().int(), offset: z.number().int()
})

type GetGroup = (name: string) => PlatformGroup

async function readJson<T> (incoming: IncomingMessage, schema: z.ZodType<T>): Promise<T | undefined> {
  try {
    return schema.parse(JSON.parse((await buffer(incoming)).toString('utf8')))
  } catch {
    return undefined
  }
}

async function answerJoin (incoming: IncomingMessage, outgoing: ServerResponse, getGroup: GetGroup): Promise<void> {
  const body = await readJson(incoming, joinSchema)
  const lifetimeMs = body && parseDurationMs(body.ttl_time)
  if (!body || lifetimeMs === undefined || lifetimeMs < SHORTEST_LIFETIME_MS) return sendJson(outgoing, 400, {})
  const { generation, parts } = getGroup(body.group).join({ member: body.member, topics: body.topics, lifetimeMs })
  sendJson(outgoing, 200, { generation, parts: parts.map(({ topic, part, offset }) => [topic, part, offset]) })
}

async function answerLeave (incoming: IncomingMessage, outgoing: ServerResponse, getGroup: GetGroup): Promise<void> {
  const body = await readJson(incoming, leaveSchema)
  if (!body) return sendJson(outgoing, 400, {})
  getGroup(body.group).leave(body.member)
  sendJson(outgoing, 200, {})
}

async function answerCommit (incoming: IncomingMessage, outgoing: ServerResponse, getGroup: GetGroup): Promise<void> {
  const body = await readJson(incoming, commitSchema)
  if (!body) return sendJson(outgoing, 400, {})
  const { group, member, generation, topic, part, offset } = body
  sendJson(outgoing, getGroup(group).commit(member, generation, { topic, part }, offset) ? 200 : 409, {})
}

function toOwnerRow ({ topic, part, member, offset }: HeldPartition): unknown[] {
  return [topic, part, member, offset]
}

/** Encodes a keyed record without the length in front. */
function encodeKeyed (key: string, value: unknown): Buffer {
  const text = value === undefined ? '' : typeof value === 'string' ? value : JSON.stringify(value)
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(text)])
}

/** Starts a stand-in on a free port of a loopback address. */
export function startPlatformStore (address = '127.0.0.1'): Promise<PlatformStore> {
  const topics = new Map<string, PlatformTopic>()
  const groups = new Map<string, PlatformGroup>()
  let fault: StoreFault = 'none'
  let calls = 0
  const getTopic = (name: string): PlatformTopic => {
    const known = topics.get(name) ?? createPlatformTopic()
    topics.set(name, known)
    return known
  }
  const getGroup = (name: string): PlatformGroup => {
    const known = groups.get(name) ?? createPlatformGroup({ partCount: PART_COUNT, getNowMs: () => performance.now() })
    groups.set(name, known)
    return known
  }
  const answer = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const url = new URL(incoming.url ?? '/', 'http://store')
    const topic = getTopic(url.searchParams.get('topic') ?? '')
    switch (`${incoming.method} ${url.pathname}`) {
      case 'POST /log-append': {
        const result = answerAppend(topic, url.searchParams, await buffer(incoming))
        if (fault !== 'lost') sendAppendResult(outgoing, result)
        return
      }
      case 'GET /log-read': return answerRead(topic, url.searchParams, outgoing)
      case 'GET /log-newest': return answerNewest(topic, url.searchParams, outgoing)
      case 'POST /log-trim':
        topic.trim(Number(url.searchParams.get('before')))
        return sendJson(outgoing, 200, {})
      case 'POST /log-join': return answerJoin(incoming, outgoing, getGroup)
      case 'POST /log-leave': return answerLeave(incoming, outgoing, getGroup)
      case 'POST /log-commit': return answerCommit(incoming, outgoing, getGroup)
      case 'GET /log-owners': return sendJson(outgoing, 200, { owners: getGroup(url.searchParams.get('group') ?? '').listOwners().map(toOwnerRow) })
      default: return sendJson(outgoing, 404, {})
    }
  }
  const server = createServer((incoming, outgoing) => {
    calls += 1
    if (fault === 'busy') sendJson(outgoing, 503, {})
    else if (fault === 'reset') incoming.socket.resetAndDestroy()
    else if (fault !== 'silent') answer(incoming, outgoing).catch(() => outgoing.destroy())
  })
  return new Promise((resolve) => {
    server.listen(0, address, () => {
      const place = server.address()
      resolve({
        port: typeof place === 'object' && place ? place.port : 0,
        put: (topic, key, value) => { getTopic(topic).append([encodeKeyed(key, value)]) },
        getTopic,
        getGroup,
        setFault (next) { fault = next },
        countCalls: () => calls,
        close () {
          server.close()
          server.closeAllConnections()
        }
      })
    })
  })
}
