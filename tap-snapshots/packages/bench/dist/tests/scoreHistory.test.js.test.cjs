/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/dist/tests/scoreHistory.test.js > TAP > scores in the journal > must match snapshot 1`] = `
[
  [ 'a score', { at: '2026-12-04T14:08:36Z', score: 0.5, site: 's' } ],
  [ 'a score without a result', undefined ],
  [ 'a single day', undefined ],
  [ 'a build', undefined ]
]
`
