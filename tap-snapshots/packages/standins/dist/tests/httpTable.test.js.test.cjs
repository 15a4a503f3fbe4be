/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/httpTable.test.js > TAP > commits and reads under faults > down 1`] = `
{
  committed: { error: { detail: 'the table is down', kind: 'unavailable' }, variant: 'Err' },
  read: { error: { detail: 'the circuit breaker of the table is open', kind: 'unavailable' }, variant: 'Err' },
  writes: 1
}
`

exports[`packages/standins/dist/tests/httpTable.test.js > TAP > commits and reads under faults > no fault 1`] = `
{
  committed: { value: { key: 2 }, variant: 'Ok' },
  read: { value: { key: 'key', value: 'new', version: 2 }, variant: 'Ok' },
  writes: 2
}
`

exports[`packages/standins/dist/tests/httpTable.test.js > TAP > commits and reads under faults > one lost answer 1`] = `
{
  committed: { value: { key: 2 }, variant: 'Ok' },
  read: { value: { key: 'key', value: 'new', version: 2 }, variant: 'Ok' },
  writes: 2
}
`

exports[`packages/standins/dist/tests/httpTable.test.js > TAP > commits and reads under faults > stale read 1`] = `
{
  committed: { value: { key: 2 }, variant: 'Ok' },
  read: { value: { key: 'key', value: 'old', version: 1 }, variant: 'Ok' },
  writes: 2
}
`

exports[`packages/standins/dist/tests/httpTable.test.js > TAP > reads, scans and commits > must match snapshot 1`] = `
[
  { value: { 'a/1': 1 }, variant: 'Ok' },
  { value: { 'a/2 ü?&': 1 }, variant: 'Ok' },
  { value: { 'a/1': 2 }, variant: 'Ok' },
  { error: { keys: [ 'a/1' ], kind: 'conflict' }, variant: 'Err' },
  { value: { 'a/1': 2 }, variant: 'Ok' },
  { value: { b: 1 }, variant: 'Ok' },
  { value: { key: 'a/2 ü?&', value: 'text', version: 1 }, variant: 'Ok' },
  { value: undefined, variant: 'Ok' },
  { value: { next: 'a/1', rows: [ { key: 'a/1', value: null, version: 2 } ] }, variant: 'Ok' },
  { value: { rows: [ { key: 'a/2 ü?&', value: 'text', version: 1 } ] }, variant: 'Ok' },
  { value: {}, variant: 'Ok' },
  { value: { 'a/1': 3 }, variant: 'Ok' }
]
`

exports[`packages/standins/dist/tests/httpTable.test.js > TAP > reads, scans and commits > must match snapshot 2`] = `
{ conflicts: 1, reads: 2, scans: 2, writes: 6 }
`

exports[`packages/standins/dist/tests/httpTable.test.js > TAP > the first answer to a write id is final > must match snapshot 1`] = `
[
  { error: { keys: [ 'key' ], kind: 'conflict' }, variant: 'Err' },
  { value: {}, variant: 'Ok' },
  { error: { keys: [ 'key' ], kind: 'conflict' }, variant: 'Err' }
]
`
