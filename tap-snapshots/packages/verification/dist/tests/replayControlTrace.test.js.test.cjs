/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/verification/dist/tests/replayControlTrace.test.js > TAP > rules that no replayed trace uses > must match snapshot 1`] = `
Array [
  "cancel",
  "seeCancel",
]
`
