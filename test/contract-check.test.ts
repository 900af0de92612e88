import { expect, test } from 'vitest'
import { checkContractText } from '../src/version/contract-check.ts'
import { formatFaults } from '../src/version/jsonc.ts'
import { createContractText } from './support/contract-texts.ts'

/** Returns the faults of the small contract with one piece of text replaced. */
function listFaults (from: string, to: string): string {
  const text = createContractText()
  expect(text).toContain(from)
  return formatFaults('c.jsonc', checkContractText(text.replace(from, to))._unsafeUnwrapErr())
}

test('a valid contract is returned with its defaults', () => {
  const contract = checkContractText(createContractText())._unsafeUnwrap()
  expect(contract).toMatchObject({ customer: 'kyushu', version: 1, basedOn: 0 })
  expect(Object.values(contract.services)[0]?.measuring.probePath).toBe('/health')
})

test('each cross-field fault gives its position and what to do', () => {
  expect(listFaults('"basedOn": 0', '"basedOn": 3')).toBe('c.jsonc:4:3: version: must be basedOn + 1, here 4')
  expect(listFaults('"name": "charge"', '"name": "status"')).toContain('operation name "status" is used twice')
  expect(listFaults('"name": "slot"', '"name": "lot"')).toContain('the path has no part ":lot"')
  expect(listFaults('"POST"', '"GET"')).toContain('GET is always idempotent')
  expect(listFaults('"connectionsPerTarget": 250', '"connectionsPerTarget": 5')).toContain('no connection for each of the 6 entries')
  expect(listFaults('"path": "/slots/:slot"', '"path": "/slots?x"')).toContain('leave query and fragment out')
  expect(listFaults('"zone": "a" }', '"zone": "a" }, { "id": "s1", "address": "127.0.0.1", "port": 9001, "zone": "b" }')).toMatch(/target id "s1" is used twice.*\n.*target address "127.0.0.1:9001" is used twice/)
})
