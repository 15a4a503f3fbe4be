/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > a rise after one measurement > must match snapshot 1`] = `
    0 [60] f 20%
 1000 [80] f 20%
 2000 [60] f 20%
 3000 [80] f 20%
 4000 [60] f 20%
 5000 [60] f 30%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > a serving task that starts beside fillers at full speed > must match snapshot 1`] = `
    0 [] f 100%
  100 [-] f 20%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > a task that stays above its target > must match snapshot 1`] = `
    0 [50] f 20%
 1000 [95] f 10%
 2000 [120] f 0%
 3000 [95] f 0%
 4000 [80] f 0%
 5000 [60] f 0%
 6000 [60] f 10%
 7000 [60] f 20%
 8000 [50] f 30%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > fillers that go on although nothing is measured > must match snapshot 1`] = `
    0 [50] f 20%
 1500 [-] f 20%
 2100 [50] f 0%
 3000 [50] f 0%
 4000 [50] f 10%
 5000 [50] f 20%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > fillers that start at full speed beside a serving task, or under a task above its target > must match snapshot 1`] = `
    0 [60] f 20%
  100 [60] f 20%, g 20%
 1000 [95] f 10%, g 10%
 1100 [95] f 10%, g 10%, h 0%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > fillers that stay held back without a serving task > must match snapshot 1`] = `
    0 [] f 100%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > one change of the load that counts twice > must match snapshot 1`] = `
    0 [60] f 20%
 1000 [95] f 10%
 1300 [95] f 10%
 1500 [95] f 10%
 2000 [80] f 10%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > percentages of an earlier controller that stay for ever > must match snapshot 1`] = `
    0 [] f 100%
`

exports[`packages/dispatch/dist/tests/pacing.test.js > TAP > the worst task that is outweighed by others > must match snapshot 1`] = `
    0 [10 95 10] f 10%
`
