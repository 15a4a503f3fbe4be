/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/verification/dist/tests/apiConfigurationBodies.test.js > TAP > 10000 malformed bodies for configuration > statuses that occurred 1`] = `
Array [
  "400",
  "412",
  "422",
]
`
