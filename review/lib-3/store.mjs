// A stand-in of the platform's store: topics as logs, long polls, the newest record of each key, and a restore from a copy.
import { createServer } from 'node:http'

const PAGE_ITEMS = 500

function encodeRecord (key, text) {
  const keyBytes = Buffer.from(key)
  return Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(text ?? '')])
}

function decodeKey (data) {
  const end = 1 + data[0]
  return { key: data.subarray(1, end).toString(), value: data.subarray(end) }
}

function encodePage (records, from) {
  const head = Buffer.alloc(16)
  head.writeBigUInt64BE(BigInt(records.length), 0)
  const parts = records.slice(from).flatMap((data) => {
    const length = Buffer.alloc(4)
    length.writeUInt32BE(data.length)
    return [length, data]
  })
  return Buffer.concat([head, ...parts])
}

function splitRecords (body) {
  const records = []
  for (let at = 0; at + 4 <= body.length;) {
    const length = body.readUInt32BE(at)
    records.push(body.subarray(at + 4, at + 4 + length))
    at += 4 + length
  }
  return records
}

/** Starts the store on a free port of an address. */
export async function startStore (address) {
  let topics = new Map()
  let era = 1
  let isAway = false
  const waiting = new Set()
  const getTopic = (name) => {
    if (!topics.has(name)) topics.set(name, [])
    return topics.get(name)
  }
  const wake = () => {
    for (const resume of [...waiting]) resume()
    waiting.clear()
  }
  const send = (outgoing, status, body, type = 'application/json') => {
    if (isAway) return outgoing.socket?.destroy()
    outgoing.writeHead(status, { 'store-era': String(era), 'content-type': type }).end(body)
  }
  const read = async (query, outgoing) => {
    const from = Number(query.get('from'))
    const endsAt = performance.now() + Number(query.get('waitMs') ?? 0)
    const startEra = era
    const isWaiting = () => getTopic(query.get('topic')).length === from && performance.now() < endsAt && era === startEra && !isAway
    while (isWaiting()) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, endsAt - performance.now())
        waiting.add(() => { clearTimeout(timer); resolve() })
      })
    }
    const records = getTopic(query.get('topic'))
    if (from > records.length) send(outgoing, 410, JSON.stringify({ first: 0 }))
    else send(outgoing, 200, encodePage(records, from), 'application/octet-stream')
  }
  const newest = (query, outgoing) => {
    const records = getTopic(query.get('topic'))
    const byKey = new Map()
    records.forEach((data, offset) => {
      const { key, value } = decodeKey(data)
      if (value.length > 0) byKey.set(key, { key, value: value.toString('base64'), offset })
      else byKey.delete(key)
    })
    const after = query.get('after')
    const rest = [...byKey.values()].sort((a, b) => a.key < b.key ? -1 : 1).filter(({ key }) => after === null || key > after)
    const items = rest.slice(0, PAGE_ITEMS)
    send(outgoing, 200, JSON.stringify({ items, more: rest.length > items.length, end: records.length }))
  }
  const append = async (incoming, query, outgoing) => {
    const chunks = []
    for await (const chunk of incoming) chunks.push(chunk)
    if (isAway) return outgoing.socket?.destroy()
    const records = getTopic(query.get('topic'))
    const offset = records.length
    records.push(...splitRecords(Buffer.concat(chunks)))
    wake()
    send(outgoing, 200, JSON.stringify({ offset, end: records.length }))
  }
  const server = createServer((incoming, outgoing) => {
    if (isAway) return incoming.socket.destroy()
    const url = new URL(incoming.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/log-read') read(query, outgoing).catch(() => outgoing.destroy())
    else if (url.pathname === '/log-newest') newest(query, outgoing)
    else if (url.pathname === '/log-append') append(incoming, query, outgoing).catch(() => outgoing.destroy())
    else send(outgoing, 404, '{}')
  })
  await new Promise((resolve) => server.listen(0, address, resolve))
  return {
    address: `${address}:${server.address().port}`,
    /** Writes as the operator and the servers do. */
    put (topic, key, value) {
      getTopic(topic).push(encodeRecord(key, value === undefined ? '' : typeof value === 'string' ? value : JSON.stringify(value)))
      wake()
    },
    takeCopy: () => new Map([...topics].map(([name, records]) => [name, [...records]])),
    /** Goes away: connections are closed, and new ones too. */
    goAway () {
      isAway = true
      wake()
      server.closeAllConnections()
    },
    /** Comes back from a copy, with the next era. */
    comeBack (copy) {
      if (copy) {
        topics = new Map([...copy].map(([name, records]) => [name, [...records]]))
        era += 1
      }
      isAway = false
    },
    close () {
      wake()
      server.close()
      server.closeAllConnections()
    }
  }
}
