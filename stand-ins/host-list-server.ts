/**
 * The stand-in of the host list over HTTP. `POST /control` makes it lag, fail, respond slowly or serve two lists that differ.
 */
import type { AddressInfo } from 'node:net'
import { serve } from '@hono/node-server'
import { Hono } from 'hono'
import { z } from 'zod'
import type { Clock } from '../src/clock.ts'

const hostSchema = z.object({
  id: z.string(),
  role: z.enum(['entry', 'target']),
  address: z.string(),
  port: z.number().int(),
  peerPort: z.number().int().optional(),
  zone: z.string(),
  state: z.enum(['live', 'leaving'])
})
const controlSchema = z.strictObject({
  /** Replaces the list; readers see the new one after `lagMs`. */
  hosts: z.array(hostSchema).optional(),
  /** A second list; while it is set, reads alternate between the two. Null removes it. */
  otherHosts: z.array(hostSchema).nullable().optional(),
  /** Delay before a change of `hosts` is visible, in ms. */
  lagMs: z.number().nonnegative().optional(),
  /** Whether every read gets a 503 response. */
  isDown: z.boolean().optional(),
  /** Delay before each response, in ms. */
  slowMs: z.number().nonnegative().optional()
})

type Host = z.infer<typeof hostSchema>
type Control = z.infer<typeof controlSchema>

/** Where the stand-in listens, its clock, and the initial list. */
export interface HostListServerOptions { address: string, port: number, clock: Clock, hosts?: Host[] }

/** A running stand-in; `control` applies a change as `POST /control` does. */
export interface HostListServer { port: number, control(change: Control): void, close(): Promise<void> }

/** Starts the stand-in, which serves `GET /hosts` and `GET|POST /control`; resolves when it listens. */
export async function startHostListServer (options: HostListServerOptions): Promise<HostListServer> {
  const { clock } = options
  const state = { hosts: options.hosts ?? [], otherHosts: undefined as Host[] | undefined, lagMs: 0, isDown: false, slowMs: 0, reads: 0 }
  const applyControl = (change: Control): void => {
    const { hosts, otherHosts, ...faults } = change
    Object.assign(state, faults)
    if (otherHosts !== undefined) state.otherHosts = otherHosts ?? undefined
    if (!hosts) return
    if (state.lagMs === 0) state.hosts = hosts
    else clock.startTimer(state.lagMs, () => { state.hosts = hosts })
  }
  const app = new Hono()
  app.get('/hosts', async (context) => {
    state.reads += 1
    const visible = state.otherHosts && state.reads % 2 === 0 ? state.otherHosts : state.hosts
    if (state.slowMs > 0) await clock.wait(state.slowMs)
    return state.isDown ? context.json({ error: 'down' }, 503) : context.json({ hosts: visible })
  })
  app.get('/control', (context) => context.json(state))
  app.post('/control', async (context) => {
    const parsed = controlSchema.safeParse(await context.req.json().catch(() => undefined))
    if (!parsed.success) return context.json({ error: z.prettifyError(parsed.error) }, 400)
    applyControl(parsed.data)
    return context.json(state)
  })
  return new Promise((resolve) => {
    const server = serve({ fetch: app.fetch, hostname: options.address, port: options.port }, (info: AddressInfo) => resolve({
      port: info.port,
      control: applyControl,
      close: () => new Promise<void>((resolve) => {
        server.close(() => resolve())
        if ('closeAllConnections' in server) server.closeAllConnections()
      })
    }))
  })
}
