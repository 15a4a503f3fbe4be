/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/dist/tests/directReplay.test.js > TAP > the baselines miss the bounds > must match snapshot 1`] = `
Array [
  Object {
    "missed": Array [
      "goodput, share of capacity",
      "accepted quick renders, p99, ms",
    ],
    "policy": "randomFifo",
  },
  Object {
    "missed": Array [
      "goodput, share of capacity",
      "accepted quick renders, p99, ms",
    ],
    "policy": "roundRobin",
  },
]
`
