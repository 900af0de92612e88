/**
 * The stand-in of the platform's store over HTTP, with faults that a test switches on.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { buffer } from 'node:stream/consumers'
import { setTimeout as wait } from 'node:timers/promises'
import { z } from 'zod'
import { parseDurationMs } from '../src/platform/durations.ts'
import { createPlatformGroup } from './platform-groups.ts'
import type { AssignedPartition, PlatformGroup } from './platform-groups.ts'
import { createPlatformTopic, splitRecords } from './platform-log.ts'
import type { AppendResult, PlatformTopic, StoredRecord } from './platform-log.ts'

/**
 * The fault of the store: `busy` responds 503, `reset` resets the connection, `silent` never responds, and `lost` carries
 * out an append without responding.
 */
export type StoreFault = 'none' | 'busy' | 'reset' | 'silent' | 'lost'

/** A copy of all topics, by name. */
export type StoreCopy = ReadonlyMap<string, PlatformTopic>

/** A running stand-in. */
export interface PlatformStore {
  port: number
  /** Appends a keyed record as the operator and the targets do, regardless of faults; without a value it deletes the key. */
  put(topic: string, key: string, value?: unknown): void
  getTopic(name: string): PlatformTopic
  /** Takes a copy of all topics. */
  takeCopy(): StoreCopy
  /** Goes back to a copy and begins a new epoch: offsets are given out again, and what was appended since the copy is gone. */
  restore(copy: StoreCopy): void
  getGroup(name: string): PlatformGroup
  setFault(fault: StoreFault): void
  /** Counts the requests received so far. */
  countCalls(): number
  close(): void
}

const MAX_PAGE_KEYS = 50
const MIN_LIFETIME_MS = 1_000
const PARTITIONS_PER_TOPIC = 12
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

async function handleRead (getTopic: () => PlatformTopic, query: URLSearchParams, outgoing: ServerResponse, setEpoch: () => void): Promise<void> {
  const from = Number(query.get('from'))
  const deadlineMs = performance.now() + Number(query.get('waitMs') ?? 0)
  while (getTopic().getEnd() === from && performance.now() < deadlineMs) await wait(READ_POLL_MS)
  const topic = getTopic()
  setEpoch()
  const records = topic.listFrom(from)
  if (records) outgoing.writeHead(200).end(encodePage(topic, records))
  else sendJson(outgoing, 410, { first: topic.getFirst() })
}

function handleNewest (topic: PlatformTopic, query: URLSearchParams, outgoing: ServerResponse): void {
  const after = query.get('after')
  const remaining = topic.listNewest().filter(({ key }) => after === null || key > after)
  const items = remaining.slice(0, MAX_PAGE_KEYS).map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }))
  sendJson(outgoing, 200, { items, more: remaining.length > items.length, end: topic.getEnd() })
}

function applyAppend (topic: PlatformTopic, query: URLSearchParams, body: Buffer): AppendResult {
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

async function handleJoin (incoming: IncomingMessage, outgoing: ServerResponse, getGroup: GetGroup): Promise<void> {
  const body = await readJson(incoming, joinSchema)
  const lifetimeMs = body && parseDurationMs(body.ttl_time)
  if (!body || lifetimeMs === undefined || lifetimeMs < MIN_LIFETIME_MS) return sendJson(outgoing, 400, {})
  const { generation, parts } = getGroup(body.group).join({ member: body.member, topics: body.topics, lifetimeMs })
  sendJson(outgoing, 200, { generation, parts: parts.map(({ topic, part, offset }) => [topic, part, offset]) })
}

async function handleLeave (incoming: IncomingMessage, outgoing: ServerResponse, getGroup: GetGroup): Promise<void> {
  const body = await readJson(incoming, leaveSchema)
  if (!body) return sendJson(outgoing, 400, {})
  getGroup(body.group).leave(body.member)
  sendJson(outgoing, 200, {})
}

async function handleCommit (incoming: IncomingMessage, outgoing: ServerResponse, getGroup: GetGroup): Promise<void> {
  const body = await readJson(incoming, commitSchema)
  if (!body) return sendJson(outgoing, 400, {})
  const { group, member, generation, topic, part, offset } = body
  sendJson(outgoing, getGroup(group).commit(member, generation, { topic, part }, offset) ? 200 : 409, {})
}

function toOwnerRow ({ topic, part, member, offset }: AssignedPartition): unknown[] {
  return [topic, part, member, offset]
}

/** Encodes a keyed record, without the record length that precedes it in a body. */
function encodeKeyed (key: string, value: unknown): Buffer {
  const text = value === undefined ? '' : typeof value === 'string' ? value : JSON.stringify(value)
  return Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(text)])
}

/** Starts the stand-in on a free port of an address; resolves when it listens. */
export function startPlatformStore (address = '127.0.0.1'): Promise<PlatformStore> {
  let topics = new Map<string, PlatformTopic>()
  let epoch = 1
  const groups = new Map<string, PlatformGroup>()
  let fault: StoreFault = 'none'
  let callCount = 0
  const getTopic = (name: string): PlatformTopic => {
    const known = topics.get(name) ?? createPlatformTopic()
    topics.set(name, known)
    return known
  }
  const getGroup = (name: string): PlatformGroup => {
    const known = groups.get(name) ?? createPlatformGroup({ partCount: PARTITIONS_PER_TOPIC, getNowMs: () => performance.now() })
    groups.set(name, known)
    return known
  }
  const setEpoch = (outgoing: ServerResponse): void => { outgoing.setHeader('store-era', String(epoch)) }
  const handleRequest = async (incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> => {
    const url = new URL(incoming.url ?? '/', 'http://store')
    const topic = getTopic(url.searchParams.get('topic') ?? '')
    switch (`${incoming.method} ${url.pathname}`) {
      case 'POST /log-append': {
        const result = applyAppend(topic, url.searchParams, await buffer(incoming))
        if (fault !== 'lost') sendAppendResult(outgoing, result)
        return
      }
      case 'GET /log-read': return handleRead(() => getTopic(url.searchParams.get('topic') ?? ''), url.searchParams, outgoing, () => setEpoch(outgoing))
      case 'GET /log-newest': return handleNewest(topic, url.searchParams, outgoing)
      case 'POST /log-trim':
        topic.trim(Number(url.searchParams.get('before')))
        return sendJson(outgoing, 200, {})
      case 'POST /log-join': return handleJoin(incoming, outgoing, getGroup)
      case 'POST /log-leave': return handleLeave(incoming, outgoing, getGroup)
      case 'POST /log-commit': return handleCommit(incoming, outgoing, getGroup)
      case 'GET /log-owners': return sendJson(outgoing, 200, { owners: getGroup(url.searchParams.get('group') ?? '').listOwners().map(toOwnerRow) })
      default: return sendJson(outgoing, 404, {})
    }
  }
  const server = createServer((incoming, outgoing) => {
    callCount += 1
    setEpoch(outgoing)
    if (fault === 'busy') sendJson(outgoing, 503, {})
    else if (fault === 'reset') incoming.socket.resetAndDestroy()
    else if (fault !== 'silent') handleRequest(incoming, outgoing).catch(() => outgoing.destroy())
  })
  return new Promise((resolve) => {
    server.listen(0, address, () => {
      const bound = server.address()
      resolve({
        port: typeof bound === 'object' && bound ? bound.port : 0,
        put: (topic, key, value) => { getTopic(topic).append([encodeKeyed(key, value)]) },
        getTopic,
        takeCopy: () => new Map([...topics].map(([name, topic]) => [name, topic.copy()])),
        restore (copy) {
          topics = new Map([...copy].map(([name, topic]) => [name, topic.copy()]))
          epoch += 1
        },
        getGroup,
        setFault (next) { fault = next },
        countCalls: () => callCount,
        close () {
          server.close()
          server.closeAllConnections()
        }
      })
    })
  })
}
