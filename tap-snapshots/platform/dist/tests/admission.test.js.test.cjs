/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/dist/tests/admission.test.js > TAP > responses to submissions while the cluster is overloaded > must match snapshot 1`] = `
{
  first: { body: '{}', retryAfter: undefined, status: 200 },
  refused: { body: '{"error":"overloaded"}', retryAfter: '10', status: 429 },
  repeated: { body: '{}', retryAfter: undefined, status: 200 }
}
`
