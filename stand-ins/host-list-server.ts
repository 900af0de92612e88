/**
 * Stand-in for the platform's host list: it lags, has outages, is slow, and may show two views that disagree.
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
  /** Replaces the list; readers see it after the lag. */
  hosts: z.array(hostSchema).optional(),
  /** The second view; while it is set, reads alternate between the two. Null ends it. */
  otherHosts: z.array(hostSchema).nullable().optional(),
  lagMs: z.number().nonnegative().optional(),
  /** Answers 503 to every read. */
  isDown: z.boolean().optional(),
  /** Holds every answer back. */
  slowMs: z.number().nonnegative().optional()
})

type Host = z.infer<typeof hostSchema>
type Control = z.infer<typeof controlSchema>

/** How to run the stand-in. */
export interface HostListServerOptions { address: string, port: number, clock: Clock, hosts?: Host[] }

/** A running stand-in. */
export interface HostListServer { port: number, control(change: Control): void, close(): Promise<void> }

/** Serves `GET /hosts` and `GET|POST /control`. */
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
    const view = state.otherHosts && state.reads % 2 === 0 ? state.otherHosts : state.hosts
    if (state.slowMs > 0) await clock.wait(state.slowMs)
    return state.isDown ? context.json({ error: 'down' }, 503) : context.json({ hosts: view })
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
