/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/placement/dist/tests/runTimeLearner.test.js > TAP > estimates approach what a team's jobs really take > must match snapshot 1`] = `
0 observations: expected 10, upper 97.8
1 observations: expected 14.9, upper 112
5 observations: expected 28.5, upper 112.6
20 observations: expected 37.6, upper 73.7
100 observations: expected 39.2, upper 60.6
`

exports[`packages/placement/dist/tests/runTimeLearner.test.js > TAP > teams are learned apart, with the class as a start > must match snapshot 1`] = `
dyers: 37.8
weavers: 10.5
potters: 18.8
`

exports[`packages/placement/dist/tests/runTimeLearner.test.js > TAP > the estimate observed longest ago is dropped first > must match snapshot 1`] = `
dyers: 10
weavers: 10
potters: 10
`
