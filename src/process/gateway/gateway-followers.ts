/**
 * The followers of the store's topics in a gateway: their timing, and how they share reads with the other entries.
 */
import type { Clock } from '../../clock.ts'
import type { BootSettings } from '../../platform/boot-file.ts'
import { OPERATOR_TOPIC, TARGETS_TOPIC } from '../../platform/store-client.ts'
import type { StoreClient } from '../../platform/store-client.ts'
import { EXPIRY_GRACE_MS } from '../discovery/target-registry.ts'
import { createTopicFollower } from '../discovery/topic-follower.ts'
import type { SharedReading } from '../discovery/shared-reading.ts'
import type { TopicFollower } from '../discovery/topic-follower.ts'
import type { PartLogger } from '../logger.ts'
import type { ReadProgress } from './gateway-messages.ts'
import type { GatewayState } from './gateway-state.ts'

/** The followers of a gateway. */
export interface GatewayFollowers {
  start(): void
  /** Returns the follower of a topic; undefined if the topic is not followed. */
  find(topic: string): TopicFollower | undefined
  /** Returns how far the topics have been read. */
  getProgress(): ReadProgress
  /** Applies how far another entry has read. */
  applyProgress(progress: ReadProgress): void
  /** Handles that the store has stated a later epoch. */
  handleEpoch(): void
  /** Whether reads of this process have failed for as long as an outage lasts at least. */
  hasLostStore(): boolean
  /** Whether the latest read of the targets by this process failed. */
  hasLostTargets(): boolean
  close(): void
}

/** Options of `createGatewayFollowers`. */
export interface GatewayFollowersOptions {
  settings: BootSettings
  store: StoreClient
  clock: Clock
  random: () => number
  logger: PartLogger
  state: GatewayState
  sharing: Omit<SharedReading, 'silentAfterMs'>
}

/** Maximum time that the store may hold a read of the configuration open, as a share of the time until it must be in effect. */
const CONFIGURATION_WAIT_SHARE = 0.5
/**
 * An entry that knows nothing of a topic that is younger than this share of the time until a configuration must be in
 * effect, or a leaving target must get no requests, reads the topic itself.
 */
const CONFIGURATION_SILENT_SHARE = 0.65
const TARGETS_SILENT_SHARE = 0.45
/** Pause between two reads of the targets, as a share of the time after which a leaving target must get no requests. */
const TARGETS_PAUSE_SHARE = 0.3
/** At the first start of all entries, the others read by themselves if nothing has been read for them by then, in ms. */
const FIRST_READ_DELAY_MS = 3_500

/** Creates the followers; they do nothing before `start`. */
export function createGatewayFollowers (options: GatewayFollowersOptions): GatewayFollowers {
  const { settings, state, sharing } = options
  const shared = { ...options, firstReadDelayMs: settings.isFirstStart ? FIRST_READ_DELAY_MS : undefined }
  const configuration = createTopicFollower({
    ...shared,
    topic: OPERATOR_TOPIC,
    waitMs: settings.configurationApplyMs * CONFIGURATION_WAIT_SHARE,
    pauseMs: 0,
    applyRecords: (records, context) => state.applyConfigurationRecords(records, context),
    sharing: { ...sharing, silentAfterMs: settings.configurationApplyMs * CONFIGURATION_SILENT_SHARE }
  })
  const targets = createTopicFollower({
    ...shared,
    topic: TARGETS_TOPIC,
    waitMs: 0,
    pauseMs: settings.drainMs * TARGETS_PAUSE_SHARE,
    postOutageWindowMs: EXPIRY_GRACE_MS,
    applyRecords: (records, context) => state.applyTargetRecords(records, context),
    sharing: { ...sharing, silentAfterMs: settings.drainMs * TARGETS_SILENT_SHARE }
  })
  const byTopic = new Map([[OPERATOR_TOPIC, configuration], [TARGETS_TOPIC, targets]])
  return {
    start () {
      configuration.start()
      targets.start()
    },
    find: (topic) => byTopic.get(topic),
    getProgress: () => [...byTopic].flatMap(([topic, follower]) => {
      const progress = follower.getProgress()
      return progress ? [{ topic, progress }] : []
    }),
    applyProgress (topics) {
      for (const { topic, progress } of topics) byTopic.get(topic)?.applyProgress(progress)
    },
    handleEpoch () {
      configuration.handleEpoch()
      targets.handleEpoch()
    },
    hasLostStore: () => configuration.hasLostStore() || targets.hasLostStore(),
    hasLostTargets: () => targets.isStoreUnavailable(),
    close () {
      configuration.close()
      targets.close()
    }
  }
}
