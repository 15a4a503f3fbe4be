/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/snapshots/dist/tests/formatSnapshot.test.js > TAP > format > class instances by name 1`] = `
Map(1) { 'key' => Set(1) { 1 } }
`

exports[`packages/snapshots/dist/tests/formatSnapshot.test.js > TAP > format > keys in order 1`] = `
{ a: { c: 'text', d: [ 1, 2 ] }, b: 1 }
`

exports[`packages/snapshots/dist/tests/formatSnapshot.test.js > TAP > format > lines that are too long 1`] = `
[
  { index: 0, text: 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' },
  { index: 1, text: 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' },
  { index: 2, text: 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' },
  { index: 3, text: 'xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx' }
]
`

exports[`packages/snapshots/dist/tests/formatSnapshot.test.js > TAP > format > nothing 1`] = `
undefined
`

exports[`packages/snapshots/dist/tests/formatSnapshot.test.js > TAP > format > text as it is 1`] = `
first line
second line
`
