/**
 * Plays one run: the system, its callers and its faults. Returns what was seen.
 */
import { setTimeout as wait } from 'node:timers/promises'
import { createRandom } from '../replay/random.ts'
import type { StoreCopy } from '../stand-ins/platform-store.ts'
import { runCaller } from './callers.ts'
import { createEventLog } from './events.ts'
import type { EventLog, SoakEvent } from './events.ts'
import { createOperator } from './operator.ts'
import type { Operator } from './operator.ts'
import type { FaultPlan, SoakPlan } from './plan.ts'
import { startSystem } from './system.ts'
import type { SoakEntry, SoakSystem } from './system.ts'

const SETTLE_MS = 1_500
const SECOND_SIGNAL_AFTER_MS = 100
const MAX_PAUSE_MS = 2_000
const DOWN_MS = 1_000
const RESTORE_AWAY_MS = 500
/** The operator writes everything again this long after a restore of the store. */
const WRITE_AGAIN_MS = 2_000
const COPY_INTERVAL_MS = 500
const DEADLY_GAP_MS = 800
/** What was done to an entry excuses what it does for this long afterwards, in ms. */
const EXCUSED_AFTER_MS = 3_000
const DEADLINE_MS = 1_500
/** Callers of a customer that sends many times its usual, and the pause between two requests of one, in ms. */
const HOT_CALLERS = 8
const HOT_GAP_MS = 15
/** Numbers of the callers that faults add begin here; those of one fault are this far apart. */
const ADDED_CALLERS = 1_000
const ADDED_PER_FAULT = 100

/** What the parts of a run share. */
interface Run {
  plan: SoakPlan
  system: SoakSystem
  events: EventLog
  copies: { atMs: number, copy: StoreCopy }[]
  random: () => number
  operator: Operator
  /** The restarts of each entry, which follow each other. */
  restarts: Map<SoakEntry, Promise<void>>
}

function recordDisturbance ({ events }: Run, entry: number, forMs: number, what: string): void {
  const atMs = events.nowMs()
  events.add({ type: 'disturbed', atMs, untilMs: atMs + forMs + EXCUSED_AFTER_MS, entry, what })
}

/** Ends the process of an entry and starts it again, after an earlier restart of it. */
function runRestart ({ restarts }: Run, entry: SoakEntry, stopProcess: () => Promise<void>): Promise<void> {
  const run = async (): Promise<void> => {
    entry.setExpectedEnd(true)
    await stopProcess()
    await entry.waitForExit()
    await wait(DOWN_MS)
    await entry.start()
  }
  const restarted = (restarts.get(entry) ?? Promise.resolve()).then(run)
  restarts.set(entry, restarted)
  return restarted
}

async function stopBySignals (entry: SoakEntry, count: number): Promise<void> {
  for (let sent = 0; sent < count; sent++) {
    entry.signal('SIGTERM')
    await wait(SECOND_SIGNAL_AFTER_MS)
  }
}

async function playEntryFault (run: Run, { fault, forMs }: FaultPlan): Promise<void> {
  if (!('entry' in fault)) return
  const entry = run.system.entries[fault.entry]!
  recordDisturbance(run, fault.entry, forMs, fault.kind)
  switch (fault.kind) {
    case 'entry-partition':
      for (const relay of entry.relays) {
        relay.freezeOpen()
        if (fault.newConnections === 'hang') relay.setFreezing(true)
        else relay.setRefusing(true)
      }
      await wait(forMs)
      for (const relay of entry.relays) {
        relay.setFreezing(false)
        relay.setRefusing(false)
        relay.closeFrozen()
      }
      return
    case 'entry-pause':
      entry.signal('SIGSTOP')
      await wait(Math.min(forMs, MAX_PAUSE_MS))
      entry.signal('SIGCONT')
      return
    case 'entry-kill': return runRestart(run, entry, async () => entry.signal('SIGKILL'))
    case 'entry-stop': return runRestart(run, entry, () => stopBySignals(entry, fault.signalCount))
  }
}

async function playStoreFault ({ system: { store }, operator, events, copies }: Run, { fault, forMs }: FaultPlan): Promise<void> {
  if (fault.kind === 'store-fault') {
    store.setFault(fault.fault)
    await wait(forMs)
    store.setFault('none')
  } else if (fault.kind === 'store-restore') {
    const copy = copies.findLast(({ atMs }) => atMs <= events.nowMs() - fault.ageMs)
    if (!copy) return
    const awayAtMs = events.nowMs()
    store.setFault('reset')
    const back = wait(RESTORE_AWAY_MS)
    operator.handleStoreAway(back)
    await back
    store.restore(copy.copy)
    store.setFault('none')
    await wait(WRITE_AGAIN_MS)
    operator.writeAgain()
    events.add({ type: 'written-again', atMs: events.nowMs(), copiedAtMs: copy.atMs, awayAtMs })
  }
}

/** Asks the entries to send nothing to a zone for a time. */
async function playEvacuation ({ operator, events }: Run, zone: string, forMs: number): Promise<void> {
  await operator.evacuate(zone)
  const atMs = events.nowMs()
  events.add({ type: 'evacuated', atMs, zone, untilMs: atMs + forMs })
  await wait(forMs)
  await operator.endEvacuation(zone)
}

async function playRevocation ({ plan, operator, events }: Run, customer: number): Promise<void> {
  const name = plan.customers[customer]?.name
  if (name === undefined) return
  await operator.revokeKey(customer)
  events.add({ type: 'revoked', atMs: events.nowMs(), customer: name })
}

async function sendHot ({ plan, system, events, random }: Run, planned: FaultPlan, customer: number): Promise<void> {
  if (plan.customers.length === 0) return
  const first = ADDED_CALLERS + plan.faults.indexOf(planned) * ADDED_PER_FAULT
  await Promise.all(Array.from({ length: HOT_CALLERS }, (_, index) => runCaller({
    index: first + index,
    plan: { service: index % plan.services.length, customer, habit: 'ordinary', keepsConnection: true, isIdempotent: index % 2 === 0, gapMs: HOT_GAP_MS, deadlineMs: DEADLINE_MS },
    services: plan.services,
    customers: plan.customers,
    entries: system.entries,
    events,
    random,
    endsAtMs: Math.min(plan.lengthMs, events.nowMs() + planned.forMs)
  })))
}

function sendDeadly ({ plan, system, events, random }: Run, planned: FaultPlan, service: number, hasLeavingCallers: boolean): Promise<void> {
  return runCaller({
    index: ADDED_CALLERS + plan.faults.indexOf(planned) * ADDED_PER_FAULT,
    plan: { service, customer: plan.customers.length === 0 ? undefined : 0, habit: hasLeavingCallers ? 'leaver' : 'ordinary', keepsConnection: false, isIdempotent: true, gapMs: DEADLY_GAP_MS, deadlineMs: DEADLINE_MS },
    services: plan.services,
    customers: plan.customers,
    entries: system.entries,
    events,
    random,
    endsAtMs: Math.min(plan.lengthMs, events.nowMs() + planned.forMs),
    isDeadly: true
  })
}

async function playFault (run: Run, planned: FaultPlan): Promise<void> {
  const { fault, forMs, atMs } = planned
  await wait(Math.max(0, atMs - run.events.nowMs()))
  if ('entry' in fault) return playEntryFault(run, planned)
  if ('target' in fault) return run.system.targets[fault.target]!.play(fault, forMs)
  switch (fault.kind) {
    case 'store-fault':
    case 'store-restore': return playStoreFault(run, planned)
    case 'zone-evacuate': return playEvacuation(run, fault.zone, forMs)
    case 'hot-customer': return sendHot(run, planned, fault.customer)
    case 'key-revoke': return playRevocation(run, fault.customer)
    case 'deadly-request': return sendDeadly(run, planned, fault.service, fault.hasLeavingCallers)
  }
}

/** Copies the store now and then, for faults that bring an earlier state back. */
async function keepCopies ({ events, copies, plan, system }: Run): Promise<void> {
  while (events.nowMs() < plan.lengthMs) {
    copies.push({ atMs: events.nowMs(), copy: system.store.takeCopy() })
    await wait(COPY_INTERVAL_MS)
  }
}

/** Plays a plan with the build in a folder. Rejects if the system cannot be started. */
export async function playRun (plan: SoakPlan, buildFolder: string): Promise<readonly SoakEvent[]> {
  const random = createRandom(plan.seed + 1)
  const events = createEventLog()
  const system = await startSystem(plan, { buildFolder, events, random })
  const run: Run = { plan, system, events, copies: [], random, operator: createOperator(plan, system.store), restarts: new Map() }
  try {
    await wait(SETTLE_MS)
    const startMs = events.nowMs()
    const moved = { ...plan, lengthMs: startMs + plan.lengthMs, faults: plan.faults.map((fault) => ({ ...fault, atMs: fault.atMs + startMs })) }
    run.plan = moved
    for (const { name, ratePerSecond, burst } of plan.customers) events.add({ type: 'quota', atMs: startMs, customer: name, ratePerSecond, burst })
    const callers = plan.callers.map((caller, index) => runCaller({ index, plan: caller, services: plan.services, customers: plan.customers, entries: system.entries, events, random, endsAtMs: moved.lengthMs }))
    await Promise.all([...callers, ...moved.faults.map((fault) => playFault(run, fault)), keepCopies(run)])
  } finally {
    await system.close()
  }
  return events.list()
}
