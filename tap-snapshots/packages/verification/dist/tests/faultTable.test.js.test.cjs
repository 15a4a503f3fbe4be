/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under agentPaused > must match snapshot 1`] = `
Array [
  "gang-2x8 failed ran=unknown attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under agentRestarted > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=2",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under agentsCut > must match snapshot 1`] = `
Array [
  "gang-2x8 failed ran=unknown attempts=1",
  "gang-3x4 finished ran=yes attempts=2",
  "gang-2x2 failed ran=unknown attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=2",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under allEntriesRestarted > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=no ",
  "request-2-1 ran=no ",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under answersLost > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under cancellationWave > must match snapshot 1`] = `
Array [
  "gang-2x8 cancelled ran=yes attempts=1",
  "gang-3x4 cancelled ran=yes attempts=1",
  "gang-2x2 cancelled ran=yes attempts=1",
  "single-4 cancelled ran=yes attempts=1",
  "single-2 cancelled ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under entriesCut > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under executorDrained > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
  "request-3-0 ran=yes answer request-3-0",
  "request-3-1 ran=yes answer request-3-1",
  "request-3-2 ran=yes answer request-3-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under holderKilled > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under holderPaused > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under none > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under rackLost > must match snapshot 1`] = `
Array [
  "gang-2x8 failed ran=unknown attempts=1",
  "gang-3x4 finished ran=yes attempts=2",
  "gang-2x2 failed ran=unknown attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=2",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under tableDown > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=no ",
  "request-2-2 ran=yes answer request-2-2",
  "request-3-0 ran=yes answer request-3-0",
  "request-3-1 ran=yes answer request-3-1",
  "request-3-2 ran=yes answer request-3-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under tableSlow > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under tableStalls > must match snapshot 1`] = `
Array [
  "gang-2x8 finished ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 failed ran=unknown attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=2",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under vmLost > must match snapshot 1`] = `
Array [
  "gang-2x8 failed ran=unknown attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`

exports[`packages/verification/dist/tests/faultTable.test.js > TAP > invariants hold under workerFailsAll > must match snapshot 1`] = `
Array [
  "gang-2x8 failed ran=yes attempts=1",
  "gang-3x4 finished ran=yes attempts=1",
  "gang-2x2 finished ran=yes attempts=1",
  "single-4 finished ran=yes attempts=1",
  "single-2 finished ran=yes attempts=1",
  "single-1 finished ran=yes attempts=1",
  "request-1-0 ran=yes answer request-1-0",
  "request-1-1 ran=yes answer request-1-1",
  "request-1-2 ran=yes answer request-1-2",
  "request-2-0 ran=yes answer request-2-0",
  "request-2-1 ran=yes answer request-2-1",
  "request-2-2 ran=yes answer request-2-2",
]
`
