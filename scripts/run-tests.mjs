// Runs the tests and prints each failure. Failures that KNOWN-RED.txt names do not fail the run; all others do.
import { spawnSync } from 'node:child_process'
import { existsSync, mkdirSync, readFileSync, rmSync } from 'node:fs'
import path from 'node:path'

const REPORT = '.work/test-report.json'
const KNOWN_RED = 'KNOWN-RED.txt'

/** Reads the test names in KNOWN-RED.txt, whose entries are blocks of `field: text` lines that begin with `test`. */
function readKnownRed () {
  if (!existsSync(KNOWN_RED)) return []
  const lines = readFileSync(KNOWN_RED, 'utf8').split('\n')
  return lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice('test: '.length).trim())
}

function listResults (report) {
  return report.testResults.flatMap((file) => {
    const name = path.relative(process.cwd(), file.name)
    if (file.assertionResults.length === 0 && file.status === 'failed') return [{ id: `${name} > (file)`, status: 'failed' }]
    return file.assertionResults.map((test) => ({ id: `${name} > ${test.fullName.trim()}`, status: test.status }))
  })
}

mkdirSync('.work', { recursive: true })
rmSync(REPORT, { force: true })
const extra = process.argv.slice(2)
const vitest = spawnSync(process.execPath,
  ['node_modules/vitest/vitest.mjs', 'run', '--reporter=default', '--reporter=json', `--outputFile.json=${REPORT}`, ...extra],
  { stdio: 'inherit' })
if (!existsSync(REPORT)) process.exit(vitest.status || 1)

const report = JSON.parse(readFileSync(REPORT, 'utf8'))
const results = listResults(report)
const knownRed = readKnownRed()
const passed = results.filter((test) => test.status === 'passed')
const failed = results.filter((test) => test.status === 'failed')
const excused = failed.filter((test) => knownRed.includes(test.id))
const unexpected = failed.filter((test) => !knownRed.includes(test.id))
const others = results.length - passed.length - failed.length

for (const test of excused) console.log(`known red: ${test.id}`)
for (const test of unexpected) console.log(`failed: ${test.id}`)
console.log(`${passed.length} passed, ${unexpected.length} failed${others ? `, ${others} skipped` : ''}`)
const hasOtherFault = vitest.status !== 0 && failed.length === 0
process.exit(unexpected.length > 0 || passed.length === 0 || hasOtherFault ? 1 : 0)
