/**
 * The programs that the relay bench starts: a target that answers at once, and two bare relays to compare with.
 */
import { once } from 'node:events'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { parseArgs } from 'node:util'
import { Agent, stream } from 'undici'
import type { Dispatcher } from 'undici'

const KEEP_ALIVE_MS = 60_000
const CONNECTIONS = 128

/** Which way a bare relay passes answers on. */
export const RELAY_WAYS = ['stream', 'dispatch'] as const
type RelayWay = typeof RELAY_WAYS[number]

async function startListening (server: Server, address: string | undefined, port: string | undefined): Promise<number> {
  server.keepAliveTimeout = KEEP_ALIVE_MS
  server.listen(Number(port), address, () => console.log('listens'))
  await once(server, 'close')
  return 0
}

/** Runs the target of the bench. */
export async function runRelayTarget (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { address: { type: 'string' }, port: { type: 'string' } } })
  const body = JSON.stringify({ slot: 1, state: 'booked' })
  const server = createServer((request, response) => {
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length, 'x-request-id': request.headers['x-request-id'] ?? '' })
    response.end(body)
  })
  return startListening(server, values.address, values.port)
}

/** Relays by the library's own stream path. */
function forwardByStream (agent: Agent, to: string, incoming: IncomingMessage, outgoing: ServerResponse): void {
  const options = { dispatcher: agent, method: 'GET' as const, opaque: outgoing }
  stream(`${to}${incoming.url}`, options, ({ statusCode, headers }) => {
    outgoing.writeHead(statusCode, headers as Record<string, string>)
    return outgoing
  }).catch(() => outgoing.destroy())
}

/** Relays by the library's dispatch, writing straight to the response. */
function forwardByDispatch (agent: Agent, to: string, incoming: IncomingMessage, outgoing: ServerResponse): void {
  const handler: Dispatcher.DispatchHandler = {
    onRequestStart () {},
    onResponseStart (_, status, headers) { outgoing.writeHead(status, headers as Record<string, string>) },
    onResponseData (_, chunk) { outgoing.write(chunk) },
    onResponseEnd () { outgoing.end() },
    onResponseError () { outgoing.destroy() }
  }
  agent.dispatch({ origin: to, method: 'GET', path: incoming.url ?? '/' }, handler)
}

/** Runs a bare relay without limits, choice or fates. */
export async function runBareRelay (args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { address: { type: 'string' }, port: { type: 'string' }, to: { type: 'string' }, way: { type: 'string' } } })
  const way = RELAY_WAYS.find((name) => name === values.way) ?? 'stream'
  const agent = new Agent({ connections: CONNECTIONS, pipelining: 1 })
  const relays: Record<RelayWay, typeof forwardByStream> = { stream: forwardByStream, dispatch: forwardByDispatch }
  const server = createServer((incoming, outgoing) => relays[way](agent, values.to ?? '', incoming, outgoing))
  return startListening(server, values.address, values.port)
}
