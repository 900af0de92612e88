import { expect, test } from 'vitest'
import { z } from 'zod'
import { formatFaults, parseJsonc } from '../src/version/jsonc.ts'

const schema = z.strictObject({ port: z.number(), name: z.string().default('none') })

test('comments and trailing commas are accepted, and defaults are filled in', () => {
  const result = parseJsonc('{ // host\n "port": 1, }', schema)
  expect(result._unsafeUnwrap()).toEqual({ port: 1, name: 'none' })
})

test('a fault gives file, line, column and what to do', () => {
  const faults = parseJsonc('{\n  "port": 1,\n  "prot": 2\n}', schema)._unsafeUnwrapErr()
  expect(formatFaults('host.jsonc', faults)).toBe('host.jsonc:3:3: unknown key "prot"; remove it or correct its spelling')
})

test('a syntax error gives its line', () => {
  const faults = parseJsonc('{\n  "port": ,\n}', schema)._unsafeUnwrapErr()
  expect(faults[0]).toMatchObject({ line: 2 })
})
