/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/clock/dist/tests/fakeClock.test.js > TAP > timers fire in order of their due time > must match snapshot 1`] = `
Array [
  "early@10",
  "middle@20",
  "late@30",
]
`

exports[`packages/clock/dist/tests/fakeClock.test.js > TAP > timers fire in order of their due time > must match snapshot 2`] = `
Array [
  "early@10",
  "middle@20",
  "late@30",
  "after@50",
]
`
