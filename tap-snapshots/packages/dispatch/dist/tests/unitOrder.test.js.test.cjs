/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/unitOrder.test.js > TAP > each order ranks ordinary work by its own rule > must match snapshot 1`] = `
[
  'weightedTardiness: due, long, valuable',
  'valuePerWork: valuable, due, long',
  'earliestDeadline: due, valuable, long',
  'leastSlack: long, due, valuable'
]
`
