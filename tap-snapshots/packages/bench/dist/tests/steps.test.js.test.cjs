/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/dist/tests/steps.test.js > TAP > the day of cooperative is valid and depends on nothing but its seed > must match snapshot 1`] = `
{
  claims: 51,
  digest: '795d85354572414ad1bf1cdf96371c478caeddba2454236713baaff57517230b',
  first: {
    acceptedAt: 973.7124022136882,
    jobId: 'renders0',
    lateBy: 19904.746274569992,
    lateWorth: 0.5213524417505172,
    onTimeBy: 7284.057026332457,
    queue: 'renders',
    team: 'glaziers',
    work: 276.47585270946337,
    worth: 2.606762208752586
  },
  queues: [ [ 'renders', 22 ], [ 'batches', 23 ], [ 'previews', 10 ] ]
}
`

exports[`packages/bench/dist/tests/steps.test.js > TAP > the day of lentesud is valid and depends on nothing but its seed > must match snapshot 1`] = `
{
  claims: 48,
  digest: '662783e46862ddf92b5cc32d996ccfd1843bc8d2c7efe58586c01ba1575f0664',
  first: {
    acceptedAt: 1273.0179651704275,
    jobId: 'labels0',
    lateBy: 65305.57936779708,
    lateWorth: 0.1445648925053599,
    onTimeBy: 22617.205099379313,
    queue: 'labels',
    team: 'potters',
    work: 264.15629473260793,
    worth: 0.4818829750178663
  },
  queues: [ [ 'labels', 9 ], [ 'catalogue', 14 ], [ 'readings', 26 ] ]
}
`

exports[`packages/bench/dist/tests/steps.test.js > TAP > the parts of a score count windows, queues and teams > must match snapshot 1`] = `
[
  {
    costs: 0.0025583333333333335,
    day: 0.39999999999999997,
    nines: 0.1590404182398875,
    queue: 0,
    score: 0.22744166666666668,
    team: 0.2,
    windows: 0.1
  },
  {
    costs: 0.0025583333333333335,
    day: 0.39999999999999997,
    nines: 0.1590404182398875,
    queue: 0,
    score: 0.2681058130506273,
    team: 0.2,
    windows: 0.1
  }
]
`
