/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/admission/dist/tests/loadSummary.test.js > TAP > a change by more than a tenth is material > must match snapshot 1`] = `
{
  first: true,
  less: false,
  more: false,
  muchLess: true,
  muchMore: true,
  newEpoch: true,
  none: true,
  same: false,
  serviceGone: true,
  serviceNew: true
}
`

exports[`packages/admission/dist/tests/loadSummary.test.js > TAP > the load counts accelerators, work and guarantees by service and priority > a guaranteed job and an ordinary one of the same priority 1`] = `
{
  at: 1000000,
  epoch: 3,
  services: [
    {
      freeAccelerators: 8,
      largestExecutor: 8,
      name: 'desk',
      priorities: [ { guaranteed: 8, hopeless: 0, leastValue: 0.125, pathMs: 4000, priority: 0, running: 0, waiting: 64 } ],
      totalAccelerators: 8
    }
  ]
}
`

exports[`packages/admission/dist/tests/loadSummary.test.js > TAP > the load counts accelerators, work and guarantees by service and priority > a job that is late, and one that earns nothing any more 1`] = `
{
  at: 1000000,
  epoch: 3,
  services: [
    {
      freeAccelerators: 8,
      largestExecutor: 8,
      name: 'desk',
      priorities: [
        { guaranteed: 0, hopeless: 16, leastValue: 0.1875, pathMs: 4000, priority: 1, running: 0, waiting: 16 }
      ],
      totalAccelerators: 8
    }
  ]
}
`

exports[`packages/admission/dist/tests/loadSummary.test.js > TAP > the load counts accelerators, work and guarantees by service and priority > a job that no executor can run 1`] = `
{
  at: 1000000,
  epoch: 3,
  services: [
    {
      freeAccelerators: 8,
      largestExecutor: 8,
      name: 'desk',
      priorities: [ { guaranteed: 0, hopeless: 64, pathMs: 4000, priority: 1, running: 0, waiting: 0 } ],
      totalAccelerators: 8
    }
  ]
}
`

exports[`packages/admission/dist/tests/loadSummary.test.js > TAP > the load counts accelerators, work and guarantees by service and priority > an executor that leaves with a run, and one that is unreachable 1`] = `
{
  at: 1000000,
  epoch: 3,
  services: [
    {
      freeAccelerators: 0,
      largestExecutor: 8,
      name: 'desk',
      priorities: [ { guaranteed: 0, hopeless: 0, pathMs: 4000, priority: 7, running: 8, waiting: 0 } ],
      totalAccelerators: 8
    }
  ]
}
`

exports[`packages/admission/dist/tests/loadSummary.test.js > TAP > the load counts accelerators, work and guarantees by service and priority > nothing runs or waits 1`] = `
{
  at: 1000000,
  epoch: 3,
  services: [ { freeAccelerators: 16, largestExecutor: 8, name: 'desk', priorities: [], totalAccelerators: 16 } ]
}
`

exports[`packages/admission/dist/tests/loadSummary.test.js > TAP > the load counts accelerators, work and guarantees by service and priority > one task runs and two wait 1`] = `
{
  at: 1000000,
  epoch: 3,
  services: [
    {
      freeAccelerators: 6,
      largestExecutor: 8,
      name: 'desk',
      priorities: [ { guaranteed: 0, hopeless: 0, pathMs: 4000, priority: 1, running: 8, waiting: 16 } ],
      totalAccelerators: 8
    }
  ]
}
`
