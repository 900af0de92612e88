import type { PartLogger } from '../../src/process/logger.ts'

/** A logger that discards every message. */
export const SILENT_LOGGER: PartLogger = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined }
