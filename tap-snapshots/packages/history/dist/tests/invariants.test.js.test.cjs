/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > a true run 1`] = `

`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > accelerator held by two attempts 1`] = `
w1/accelerators/1: The accelerator was held by j1.1 and by j2.1 at once, from 599 ms. [heldTwice]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > accelerator held twice behind a long run 1`] = `
w1/accelerators/0: The accelerator was held by j1.1 and by j2.1 at once, from 200 ms. [heldTwice]
w1/accelerators/0: The accelerator was held by j1.1 and by j2.2 at once, from 400 ms. [heldTwice]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > accelerator passed on at once 1`] = `

`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > answer cut short 1`] = `
weavers/key-j1: The answer was not given by any run of it. [answerOfNone]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > answer of the other request under its key 1`] = `
weavers/key-r1: The answer belongs to weavers/r1. [answerOfAnother]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > answer that is not in the history 1`] = `
weavers/key-r1: The caller was told that it was run, but nothing was started. [ranButNotStarted]
x1: The attempt r1.1 ran, but the history does not know it. [unknownRun]
weavers/key-r1: The caller got an answer, but the history has no event of it. [notInHistory]
weavers/key-r1: The answer was not given by any run of it. [answerOfNone]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > answer without a run 1`] = `
weavers/key-r1: The caller was told that it was run, but nothing was started. [ranButNotStarted]
weavers/key-r1: The answer was not given by any run of it. [answerOfNone]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > answers exchanged 1`] = `
weavers/key-j1: The answer belongs to weavers/r1. [answerOfAnother]
weavers/key-r1: The answer belongs to weavers/j1. [answerOfAnother]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > batch that runs twice 1`] = `
weavers/key-j1: It is not idempotent, but it was started 2 times. [startedAgain]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > event that is missing 1`] = `
weavers/j1: The event 1 is missing. [gap]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > event that occurs twice 1`] = `
weavers/r1: It has 2 terminal events. [severalEnds]
weavers/r1: The event 0 occurs more than once. [repeated]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > gang with a member that finished early 1`] = `

`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > gang with a member that never started 1`] = `
weavers/j1/j1.1: The attempt ran with 1 of 2 members for 500 ms; at most 100 ms are allowed. [partialGang]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > gang with a member that started late 1`] = `
weavers/j1/j1.1: The attempt ran with 1 of 2 members for 101 ms; at most 100 ms are allowed. [partialGang]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > gang with a member that still runs alone 1`] = `
weavers/j1/j1.1: The attempt ran with 1 of 2 members for 9400 ms; at most 100 ms are allowed. [partialGang]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > gang with a member that was stopped early 1`] = `
weavers/j1/j1.1: The attempt ran with 1 of 2 members for 101 ms; at most 100 ms are allowed. [partialGang]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > job that ran, but the caller was told no 1`] = `
weavers/key-j1: The caller was told that it was not run, but j1.1 was started on w1. [toldNotRunButStarted]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > job that was never accepted 1`] = `
weavers/j1: It has events, but was never accepted. [notAccepted]
weavers/j1: The event 0 is missing. [gap]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > job with two ends 1`] = `
weavers/j1: It has 2 terminal events. [severalEnds]
weavers/j1: The event 3 follows the end. [afterEnd]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > job without an end 1`] = `
weavers/j1: It was accepted, but has no terminal event. [noEnd]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > label that is issued twice 1`] = `
weavers/key-r1: It is not idempotent, but it was started 2 times. [startedAgain]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > member that starts twice in one attempt 1`] = `
weavers/key-j1: It is not idempotent, but it was started 2 times. [startedAgain]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > refused request that is repeated under its key 1`] = `

`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > refused request that ran beside its repetition 1`] = `
weavers/key-r1: The caller was told that it was not run, but r0.1 was started on x1. [toldNotRunButStarted]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > request that ran, but the history says no 1`] = `
weavers/r1: The event failed says that it was not run, but r1.1 was started on x1. [recordedNotRunButStarted]
`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > run of a request whose record names no attempt 1`] = `

`

exports[`packages/history/dist/tests/invariants.test.js > TAP > forged histories > run that the history does not know 1`] = `
x1: The attempt r9.1 ran, but the history does not know it. [unknownRun]
`
