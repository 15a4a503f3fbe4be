/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/advice.test.js > TAP > a step starts only on executors with a ticket > must match snapshot 1`] = `
start free run 1: 0.0.0 on vm0
start asked run 1: 0.0.0 on vm2
start asked run 1: 0.0.1 on vm2
start asked run 1: 0.0.2 on vm2
start other run 1: 0.0.0 on vm1
start other run 1: 0.0.1 on vm1
start other run 1: 0.0.2 on vm1
`

exports[`packages/dispatch/dist/tests/advice.test.js > TAP > only steps that can get enough room need advice > must match snapshot 1`] = `
lasting, priority 0: guaranteed, single, limited
lasting, priority 1: guaranteed, urgent, single, limited
ends, priority 0: guaranteed, urgent, other, single, limited
`

exports[`packages/dispatch/dist/tests/advice.test.js > TAP > the steps that need advice are ordered by urgency > must match snapshot 1`] = `
urgent.0.0 1: executor1 1, executor0 0
early.0.0 2: executor0 7
late.0.0 2: executor1 8, executor0 7
tried.0.0 2: executor1 8, executor0 7
chain.0.1 1: executor1 8, executor0 7
`
