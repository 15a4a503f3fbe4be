/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a gang that waits for a rack of a size that does not exist 1`] = `
start wide run 1: 0.0.0 on vm0, 0.0.1 on vm1, 0.0.2 on vm2, 0.0.3 on vm3
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a gang with a member that still has a placement 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a guarantee that stops more than it needs, or dear work 1`] = `
stop new.0.0.0 run 1: preempted
stop new.0.0.1 run 1: preempted
stop new.0.0.2 run 1: preempted
stop new.0.0.3 run 1: preempted
stop new.0.0.4 run 1: preempted
stop new.0.0.5 run 1: preempted
stop new.0.0.6 run 1: preempted
stop new.0.0.7 run 1: preempted
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a run that is stopped as stalled because its executor's lists do not arrive 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a run that is stopped as stalled before it stood still for as long as it had worked, unless a checkpoint keeps that 1`] = `
stop saved.0.0.0 run 1: stalled
stop saved.0.0.1 run 1: stalled
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a stalled run that nobody moves, and gangs stopped in part 1`] = `
stop stuck.0.0.0 run 1: stalled
stop stuck.0.0.1 run 1: stalled
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a task that starts again where it has just failed 1`] = `
start again run 2: 0.0.0 on vm1
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a tight gang over two racks although one rack holds it 1`] = `
start tight run 1: 0.0.0 on vm3, 0.0.1 on vm4, 0.0.2 on vm5
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a tight gang that runs three times slower instead of waiting a moment 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > an executor that fails everything and takes more work 1`] = `
start next run 1: 0.0.0 on vm1
start next run 1: 0.0.1 on vm0
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > an occurrence before its due time, and steps out of order 1`] = `
start repeated run 1: 1.0.0 on vm0
start repeated run 3: 1.0.1 on vm0
start repeated run 1: 0.1.0 on vm0
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > executors of another service, without the label, that drain, or that are at the limit 1`] = `
start picky run 1: 0.0.0 on vm2
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > further victims while the first ones end, and other work in their room 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > room of a run of an unknown job that is given away 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > runs of two jobs on a slow executor that stay there 1`] = `
stop a.0.0.0 run 1: slow
stop b.0.0.0 run 1: slow
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > small tasks that break up empty executors 1`] = `
start small run 1: 0.0.0 on vm1
start small run 1: 0.0.1 on vm1
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > small tasks that take the room that a large gang waits for 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > work without checkpoints that is stopped because its executor leaves 1`] = `
stop saved.0.0.0 run 1: draining
`
