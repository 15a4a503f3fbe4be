/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/adviceTurns.test.js > TAP > successive calls go by rank, by room and by the last call > must match snapshot 1`] = `
Array [
  "blocked > oldest > fits, asked before > fits",
  "fits > fits, asked before > blocked > oldest > fits, asked before > fits",
  "blocked > oldest > fits, asked before > fits",
  "oldest > fits > fits, asked before > blocked",
]
`

exports[`packages/dispatch/dist/tests/adviceTurns.test.js > TAP > successive calls go by rank, by room and by the last call > no step has room 1`] = `
blocked > oldest
`
