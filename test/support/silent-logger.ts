import type { PartLogger } from '../../src/process/logger.ts'

export const SILENT_LOGGER: PartLogger = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined }
