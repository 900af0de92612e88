import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import { expect, test } from 'vitest'
import { getLoopbackAddress } from './support/addresses.ts'

const run = promisify(execFile)

test('the demo runs its steps through six entries, replays a trace and exits cleanly', async () => {
  const network = getLoopbackAddress(0).split('.').slice(0, 3).join('.')
  const { stdout, stderr } = await run(process.execPath, ['dist/demo.cjs', '--once', '--network', network])
  expect(stderr).toBe('')
  expect(stdout).not.toMatch(/WRONG|BROKEN/)
  expect(stdout).toContain('a draining target receives nothing more: 0 of 20 requests')
  expect(stdout).toContain('it exits by itself: exit code 0')
  expect(stdout).toContain('All steps succeeded and all invariants hold.')
  expect(stdout.match(/entry-\d with 0/g)).toHaveLength(6)
})
