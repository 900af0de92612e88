// Installs the packages of the lock file if they are missing or older than the lock file.
import { execFileSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

const STAMP = 'node_modules/.package-lock.json'

function isInstalled () {
  if (!existsSync(STAMP)) return false
  return statSync(STAMP).mtimeMs >= statSync('package-lock.json').mtimeMs
}

if (!isInstalled()) execFileSync('npm', ['ci', '--no-fund', '--no-audit'], { stdio: 'inherit' })
