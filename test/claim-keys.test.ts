import { expect, test } from 'vitest'
import { hashKey, hashRequest, readKey } from '../src/process/claims/claim-keys.ts'
import { rankEntries } from '../src/process/claims/rendezvous.ts'
import type { CustomerId, EntryId, ServiceId } from '../src/types.ts'
import type { KeySource, Operation } from '../src/version/contract.ts'

const JSON_BODY = Buffer.from('{"lot":"L-7","count":12,"share":0.5,"empty":""}')

function createOperation (key: KeySource): Extract<Operation, { repeatable: false }> {
  return { name: 'issue', method: 'POST', path: '/lots/:lot/ticket', deadlineMs: 1_000, longestMs: 30_000, largestBodyBytes: 1_000, repeatable: false, key }
}

function readFrom (key: KeySource, path = '/lots/L-7/ticket', body: Uint8Array = JSON_BODY, headers: Record<string, string | string[]> = {}): string {
  return readKey(createOperation(key), { path, headers, body }).match((value) => value, (error) => error.kind)
}

test('a key is read from the header, path segment or body field that the contract defines', () => {
  expect(readFrom({ from: 'header' }, '/x', JSON_BODY, { 'idempotency-key': 'k1' })).toBe('k1')
  expect(readFrom({ from: 'path', name: 'lot' }, '/lots/L%2D7/ticket?x=1')).toBe('L-7')
  expect(readFrom({ from: 'field', name: 'lot' })).toBe('L-7')
  expect(readFrom({ from: 'field', name: 'count' })).toBe('12')
})

test('missing and malformed keys are different errors', () => {
  expect(readFrom({ from: 'header' })).toBe('key-missing')
  expect(readFrom({ from: 'header' }, '/x', JSON_BODY, { 'idempotency-key': ['a', 'b'] })).toBe('malformed-request')
  expect(readFrom({ from: 'header' }, '/x', JSON_BODY, { 'idempotency-key': 'k'.repeat(257) })).toBe('malformed-request')
  expect(readFrom({ from: 'path', name: 'lot' }, '/lots//ticket')).toBe('key-missing')
  expect(readFrom({ from: 'path', name: 'lot' }, '/lots/%E0%A4%A/ticket')).toBe('malformed-request')
  expect(readFrom({ from: 'field', name: 'other' })).toBe('key-missing')
  expect(readFrom({ from: 'field', name: 'empty' })).toBe('key-missing')
  expect(readFrom({ from: 'field', name: 'share' })).toBe('malformed-request')
  expect(readFrom({ from: 'field', name: 'lot' }, '/x', Buffer.from('{"lot":'))).toBe('malformed-request')
  expect(readFrom({ from: 'field', name: 'lot' }, '/x', Buffer.from('["lot"]'))).toBe('malformed-request')
})

test('key hashes differ by customer, service, operation and value, also when the concatenated parts are equal', () => {
  const hash = (customer: string, service: string, operation: string, key: string) =>
    hashKey(customer as CustomerId, service as ServiceId, operation, key)
  const hashes = [hash('a', 'b', 'c', 'd'), hash('ab', '', 'c', 'd'), hash('a', 'b', 'cd', ''), hash('a', 'b', 'd', 'c'), hash('a', 'c', 'b', 'd')]
  expect(new Set(hashes).size).toBe(hashes.length)
  expect(hash('a', 'b', 'c', 'd')).toBe(hashes[0])
})

test('request hashes are equal only for the same method, path and body', () => {
  const first = hashRequest('POST', '/x', Buffer.from('1'))
  expect(hashRequest('POST', '/x', Buffer.from('1'))).toBe(first)
  expect(hashRequest('PUT', '/x', Buffer.from('1'))).not.toBe(first)
  expect(hashRequest('POST', '/x?y', Buffer.from('1'))).not.toBe(first)
  expect(hashRequest('POST', '/x', Buffer.from('2'))).not.toBe(first)
})

test('all processes rank entries in the same order, and removing an entry moves only its own keys', () => {
  const entries = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'] as EntryId[]
  const keys = Array.from({ length: 600 }, (_, number) => `partition-${number}`)
  for (const key of keys) {
    const ranked = rankEntries(key, entries)
    expect(rankEntries(key, [...entries].reverse())).toEqual(ranked)
    expect(rankEntries(key, entries.filter((entry) => entry !== 'e3'))).toEqual(ranked.filter((entry) => entry !== 'e3'))
  }
  const firstCounts = entries.map((entry) => keys.filter((key) => rankEntries(key, entries)[0] === entry).length)
  expect(Math.min(...firstCounts)).toBeGreaterThan(50)
})
