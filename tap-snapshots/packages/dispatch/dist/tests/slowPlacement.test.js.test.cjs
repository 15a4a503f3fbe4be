/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > a gang that starts on slow executors, as normal ones are held for longer than the slowdown 1`] = `
start a run 1: 0.0.0 on vm0, 0.0.1 on vm1
`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > a gang that waits, as normal executors are free soon 1`] = `

`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > a gang that would be late on slow executors 1`] = `
start a run 1: 0.0.0 on vm2, 0.0.1 on vm3
`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > a gang with slack 1`] = `
start a run 1: 0.0.0 on vm0, 0.0.1 on vm1
`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > a gang with slack that fits neither on slow nor on normal executors alone 1`] = `
start a run 1: 0.0.0 on vm0, 0.0.1 on vm1, 0.0.2 on vm2, 0.0.3 on vm3, 0.0.4 on vm4, 0.0.5 on vm5, 0.0.6 on vm6
`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > late work leaves normal executors free 1`] = `
start a run 1: 0.0.0 on vm0, 0.0.1 on vm1
`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > tasks with slack, more than fit on slow executors 1`] = `
start a run 1: 0.0.0 on vm0
start a run 1: 0.0.1 on vm1
start a run 1: 0.0.2 on vm2
`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work is placed by its slack and the speeds of executors > urgent work and work with slack 1`] = `
start urgent run 1: 0.0.0 on vm2, 0.0.1 on vm3
start slack run 1: 0.0.0 on vm0, 0.0.1 on vm1
`

exports[`packages/dispatch/dist/tests/slowPlacement.test.js > TAP > work that would be late on all executors starts nevertheless > must match snapshot 1`] = `
start a run 1: 0.0.0 on vm0, 0.0.1 on vm1
`
