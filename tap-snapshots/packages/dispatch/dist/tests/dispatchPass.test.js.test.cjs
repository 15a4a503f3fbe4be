/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a gang that waits for a rack larger than any existing one 1`] = `
start wide run 1: 0.0.0 on vm0, 0.0.1 on vm1, 0.0.2 on vm2, 0.0.3 on vm3
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a gang with a member that still has a placement 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a guarantee that preempts more runs than it needs, or expensive ones 1`] = `
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

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a run without checkpoints that is stopped as stalled before it made no progress for as long as it worked 1`] = `
stop saved.0.0.0 run 1: stalled
stop saved.0.0.1 run 1: stalled
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a run without checkpoints that is stopped because its executor leaves 1`] = `
stop saved.0.0.0 run 1: draining
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a stalled run that is not evicted, and gangs stopped in part 1`] = `
stop stuck.0.0.0 run 1: stalled
stop stuck.0.0.1 run 1: stalled
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a task that starts again where it has just failed 1`] = `
start again run 2: 0.0.0 on vm1
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a tight gang that is spread over two racks although it fits in one 1`] = `
start tight run 1: 0.0.0 on vm3, 0.0.1 on vm4, 0.0.2 on vm5
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > a tight gang that runs three times slower instead of waiting briefly 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > an executor that fails the runs of all jobs and gets more work 1`] = `
start next run 1: 0.0.0 on vm1
start next run 1: 0.0.1 on vm0
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > an occurrence before its due time, and steps out of order 1`] = `
start repeated run 1: 1.0.0 on vm0
start repeated run 3: 1.0.1 on vm0
start repeated run 1: 0.1.0 on vm0
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > executors of another service, without the label, that are draining, or that have reached the limit 1`] = `
start picky run 1: 0.0.0 on vm2
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > further victims while the first ones are stopping, and other work that takes their resources 1`] = `

`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > resources of a run of an unknown job that are allocated again, or the rest of its executor that stays unused 1`] = `
start any run 1: 0.0.0 on vm0
start any run 1: 0.0.1 on vm0
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > runs of two jobs on a slow executor that are not evicted 1`] = `
stop a.0.0.0 run 1: slow
stop b.0.0.0 run 1: slow
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > small tasks that fragment empty executors 1`] = `
start small run 1: 0.0.0 on vm1
start small run 1: 0.0.1 on vm1
`

exports[`packages/dispatch/dist/tests/dispatchPass.test.js > TAP > decisions on single views > small tasks that take the resources that a large gang waits for 1`] = `

`
