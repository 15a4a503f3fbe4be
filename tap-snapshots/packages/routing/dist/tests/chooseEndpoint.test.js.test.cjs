/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/routing/dist/tests/chooseEndpoint.test.js > TAP > choices > must match snapshot 1`] = `
Array [
  "own data centre first: chosen near crossing=false",
  "less loaded of two: chosen idle crossing=false",
  "first of two equal ones: chosen first crossing=false",
  "spill when the own one is full: chosen far crossing=true",
  "wait when a local slot is free sooner than a crossing: full",
  "cross when the own one has no endpoint: chosen far crossing=true",
  "leaving: none",
  "lost: none",
  "another service: none",
  "already tried: none",
  "unhealthy: none",
  "full of requests of others: full",
  "out of connections: full",
  "stale report: chosen near crossing=false",
]
`
