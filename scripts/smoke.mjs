// Runs the demo against the single executable, in a temporary folder without packages.
import { spawnSync } from 'node:child_process'
import { copyFileSync, existsSync, mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'

const BINARY = 'dist/medlarcove'
const BYTE = 256

if (!existsSync(BINARY)) {
  console.error(`${BINARY} is missing; run "npm run build" first.`)
  process.exit(1)
}
const root = process.cwd()
const folder = mkdtempSync(path.join(tmpdir(), 'medlarcove-smoke-'))
const binary = path.join(folder, 'medlarcove')
// The network depends on the process id, so that concurrent runs do not use the same addresses.
const network = `127.${128 + Math.floor(process.pid / BYTE) % 100}.${process.pid % BYTE}`
try {
  copyFileSync(BINARY, binary)
  const version = spawnSync(binary, ['--version'], { cwd: folder, encoding: 'utf8' })
  if (version.status !== 0 || version.stderr !== '') throw new Error(`--version ended with ${version.status} and printed: ${version.stderr}`)
  const demo = spawnSync(process.execPath, [path.join(root, 'dist/demo.cjs'), '--once', '--root', root, '--binary', binary, '--network', network], { cwd: folder, stdio: 'inherit' })
  process.exitCode = demo.status === 0 ? 0 : 1
} finally {
  rmSync(folder, { recursive: true })
}
