/**
 * Creates followers of the contract stream over a log in memory, on a clock that the test advances.
 */
import { createTestClock } from '../../src/clock.ts'
import type { AuditEvent } from '../../src/process/audit/audit-trail.ts'
import { createContractFollower } from '../../src/process/contracts/contract-follower.ts'
import type { ContractFollower, ContractFollowerOptions } from '../../src/process/contracts/contract-follower.ts'
import { toBrand } from '../../src/types.ts'
import type { CustomerId, Nonce, StreamName } from '../../src/types.ts'
import { encodeStreamRecord, encodeText } from '../../src/version/contract-record.ts'
import type { StreamRecord } from '../../src/version/contract-record.ts'
import { createContractText } from './contract-texts.ts'
import type { ContractTextOptions } from './contract-texts.ts'
import { createFakeLog } from './fake-log.ts'
import { createProcessGate } from './process-gate.ts'

/** The contract stream. */
export const CONTRACTS = toBrand<StreamName>('contracts')
/** The customer of the test contracts. */
export const KYUSHU = toBrand<CustomerId>('kyushu')

/** A follower with the audit events that it recorded. */
export interface TestFollower extends ContractFollower {
  events: AuditEvent[]
  /** Lists the reasons in the recorded events of one type. */
  listReasons(type: AuditEvent['type']): string[]
  /** Returns the version in effect for the customer `KYUSHU`; 0 when there is none. */
  getVersion(): number
}

/** Options under which no checkpoint is written, unless a test changes them. */
const RARE_CHECKPOINTS = { checkpointEveryMs: 1e9, checkpointEveryRecords: 1e9, checkpointJitterMs: 100, pollMs: 1_000, retryMs: 400, random: () => 0.5 }

/** Returns the record of a published version; each record refers to the nonce of the version before it. */
export function createPublishRecord (options: ContractTextOptions = {}): StreamRecord {
  const version = options.version ?? 1
  return {
    type: 'contract',
    v: 1,
    nonce: toBrand<Nonce>(`n${version}`),
    basedOnNonce: version === 1 ? '' : toBrand<Nonce>(`n${version - 1}`),
    operator: 'op',
    publishedAtMs: 1_800_000_000_000,
    packed: encodeText(createContractText({ ...options, version }))
  }
}

/** Creates a log in memory on which tests start followers; `close` closes all of them. */
export function createFollowerWorld () {
  const clock = createTestClock()
  const fake = createFakeLog({ clock })
  const followers: ContractFollower[] = []

  const startFollower = (options: Partial<ContractFollowerOptions> = {}): TestFollower => {
    const events: AuditEvent[] = []
    const log = fake.createClient(createProcessGate())
    const follower = createContractFollower({ log, clock, audit: { record: (event) => events.push(event) }, ...RARE_CHECKPOINTS, ...options })
    follower.start()
    followers.push(follower)
    return {
      ...follower,
      events,
      listReasons: (type) => events.flatMap((event) => event.type === type ? ['reason' in event ? event.reason : ''] : []),
      getVersion: () => follower.getContract(KYUSHU).match(({ version }) => version, () => 0)
    }
  }

  return {
    clock,
    fake,
    startFollower,
    appendRecord: (record: StreamRecord) => fake.store.appendRecord(CONTRACTS, encodeStreamRecord(record)),
    /** Appends versions from 1 up to `count`. */
    appendVersions (count: number, options: ContractTextOptions = {}): void {
      for (let version = 1; version <= count; version++) fake.store.appendRecord(CONTRACTS, encodeStreamRecord(createPublishRecord({ ...options, version })))
    },
    async close (): Promise<void> {
      const closing = Promise.all(followers.map((follower) => follower.close()))
      await clock.advance(1_000)
      await closing
    }
  }
}
