/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/executorSpeeds.test.js > TAP > with a fifth of the executors slow, fewer urgent jobs are late once speeds are learned > jobs and late jobs by priority 1`] = `
seed 1: 50 15 8 jobs, late before 26 4 6, after 14 4 4
seed 2: 59 9 11 jobs, late before 33 2 6, after 18 2 6
seed 3: 48 16 10 jobs, late before 20 4 7, after 8 3 7
seed 4: 58 15 6 jobs, late before 41 0 5, after 16 0 5
`
