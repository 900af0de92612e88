// Builds dist/medlarcove, a single executable: the bundled program inside a copy of the Node.js runtime.
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, renameSync, rmSync, statSync, writeFileSync } from 'node:fs'

const BINARY = 'dist/medlarcove'
const WORK_FOLDER = '.work/build'
const RESOURCE = 'NODE_SEA_BLOB'
const SENTINEL_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const EXECUTABLE_MODE = 0o755
const BYTES_PER_MB = 1_000_000

/** Runs a Node.js script without printing its output; when it fails, the error contains the output. */
function runNode (...args) {
  execFileSync(process.execPath, args, { stdio: 'pipe' })
}

mkdirSync(WORK_FOLDER, { recursive: true })
runNode('scripts/bundle.mjs')
const config = `${WORK_FOLDER}/sea-config.json`
const blob = `${WORK_FOLDER}/medlarcove.blob`
writeFileSync(config, JSON.stringify({ main: 'dist/medlarcove.cjs', output: blob, disableExperimentalSEAWarning: true }))
runNode('--experimental-sea-config', config)

// Built under a temporary name and renamed into place, so that a running binary is never overwritten.
const unfinished = `${BINARY}.${process.pid}.tmp`
copyFileSync(process.execPath, unfinished)
chmodSync(unfinished, EXECUTABLE_MODE)
runNode('node_modules/postject/dist/cli.js', unfinished, RESOURCE, blob, '--sentinel-fuse', SENTINEL_FUSE)
renameSync(unfinished, BINARY)
rmSync(WORK_FOLDER, { recursive: true })
console.log(`${BINARY} is built (${Math.round(statSync(BINARY).size / BYTES_PER_MB)} MB).`)
