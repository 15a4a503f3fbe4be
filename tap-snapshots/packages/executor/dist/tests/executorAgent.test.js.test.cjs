/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > agent restart (guards against runs and ends that are lost when the agent restarts) > agent restart 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0 c1 > agent.start e1 b#1
    0     start e1 a#1 fence=1: ok
    0     start e1 b#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
    0 c1 < agent.start e1 b#1: {"kind":"started","clockMs":0}
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[a#1] ends=[1:b#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[a#1] ends=[1:b#1:done]
  100 c1 < report e1 born=1000 running=[a#1] ends=[1:b#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[a#1] ends=[1:b#1:done]
  200 c1 closed
  400 c1 < attach: attached []
  500     probe e1 fence=1: born=1000 running=[a#1] ends=[1:b#1:done]
  500     list e1 fence=1 ack=0 wait=0: born=1000 running=[a#1] ends=[1:b#1:done]
  500 c1 < report e1 born=1000 no list
  500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[a#1] ends=[1:b#1:done]
  500 c1 < report e1 born=1000 running=[a#1] ends=[1:b#1:done]
  700     list e1 fence=1 ack=0 wait=1000: born=1000 running=[a#1] ends=[1:b#1:done]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > crash and restart under the same id (guards against an acknowledgement for the old incarnation that is applied to an end of the new one with the same number) > crash and restart under the same id 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100 c1 < report e1 born=1000 running=[] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  200 c1 > agent.lease e1
  200     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[1:a#1:done]
  200     list e1 fence=1 ack=1 wait=0: born=1000 running=[] ends=[]
  200 c1 < agent.lease e1: {"kind":"accepted"}
  260     list e1 fence=1 ack=0 wait=1000: notSent
  260 c1 < report e1 born=1000 running=[] ends=[] unreachable
  310     list e1 fence=1 ack=0 wait=0: born=1001 running=[] ends=[1:b#1:done]
  310     list e1 fence=1 ack=0 wait=1000: born=1001 running=[] ends=[1:b#1:done]
  310 c1 < report e1 born=1001 no list
  510     list e1 fence=1 ack=0 wait=1000: born=1001 running=[] ends=[1:b#1:done]
  550 c1 > agent.lease e1
  550 c1 < report e1 born=1001 running=[] ends=[1:b#1:done]
  550 c1 < agent.lease e1: {"kind":"refused","reason":"incarnation"}
  710     list e1 fence=1 ack=0 wait=1000: born=1001 running=[] ends=[1:b#1:done]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > deadline passes before an answer (guards against a start order that takes effect after it was reported as refused) > deadline passes before an answer 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  400     start e1 a#1 fence=1: unanswered
  700     stop e1 a#1 fence=1: unanswered
 1000 c1 < report e1 born=1000 running=[] ends=[]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 1100     stop e1 a#1 fence=1: ok
 1100 c1 < agent.start e1 a#1: {"kind":"refused","reason":"late","stoppedClockMs":1100}
 2000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 2000 c1 < report e1 born=1000 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > delayed order (guards against a task that runs twice because its first order takes effect after the retry) > delayed order 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  400     start e1 a#1 fence=1: ok
  400 c1 < agent.start e1 a#1: {"kind":"started","clockMs":400}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > draining executor and its successor (guards against a start on a leaving executor, or an old executor that is reported in place of its successor) > draining executor and its successor 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     probe e2 fence=1: born=2000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e2 fence=1 ack=0 wait=0: born=2000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e2 fence=1 ack=0 wait=0: born=2000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[], e2 born=2000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
  100 c1 > agent.start e1 b#1
  100 c1 > agent.start e2 c#1
  100 c1 < report e1 born=1000 running=[] ends=[] draining
  100     start e2 c#1 fence=1: ok
  100 c1 < agent.start e1 b#1: {"kind":"refused","reason":"draining"}
  100 c1 < agent.start e2 c#1: {"kind":"started","clockMs":100}
  500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  500 c1 < report e1 born=1000 running=[] ends=[1:a#1:done] draining
  500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  700     list e1 fence=1 ack=0 wait=1000: notSent
  700 c1 < report e1 born=1000 running=[] ends=[1:a#1:done] draining unreachable left
  750     list e1 fence=1 ack=0 wait=0: notSent
  850     list e1 fence=1 ack=0 wait=0: notSent
 1000     list e2 fence=1 ack=0 wait=1000: born=2000 running=[c#1] ends=[]
 1000 c1 < report e2 born=2000 running=[c#1] ends=[]
 1000 c1 > agent.stop e1 a#1
 1000     stop e1 a#1 fence=1: notSent
63000     list e2 fence=2 ack=0 wait=0: born=2000 running=[] ends=[1:c#1:lapsed]
63000     list e2 fence=2 ack=0 wait=1000: born=2000 running=[] ends=[1:c#1:lapsed]
63000 c2 < attach: attached [e2 born=2000 running=[] ends=[1:c#1:lapsed]]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > executor that does not answer while a controller attaches (guards against an attach that waits for an unresponsive executor, or returns a list from before the new epoch) > executor that does not answer while a controller attaches 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     probe e2 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e2 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e2 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[], e2 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
  100     list e1 fence=1 ack=0 wait=1000: unanswered
  100     list e2 fence=1 ack=0 wait=1000: unanswered
  100     list e2 fence=2 ack=0 wait=0: born=1000 running=[] ends=[]
 1100 c2 < attach: attached [e1 born=1000 no list, e2 born=1000 running=[] ends=[]]
 1100     list e1 fence=2 ack=0 wait=0: unanswered
 1100     list e2 fence=2 ack=0 wait=1000: born=1000 running=[] ends=[]
 1600 c2 > agent.start e1 b#1
 1600 c2 < agent.start e1 b#1: {"kind":"refused","reason":"incarnation"}
 2100     list e1 fence=2 ack=0 wait=0: unanswered
 2100 c2 < report e1 born=1000 no list
 2100 c2 < report e2 born=1000 running=[] ends=[]
 2100     list e2 fence=2 ack=0 wait=1000: born=1000 running=[] ends=[]
 2200     list e1 fence=2 ack=0 wait=0: born=1000 running=[a#1] ends=[]
 2200 c2 < report e1 born=1000 running=[a#1] ends=[]
 3100     list e2 fence=2 ack=0 wait=1000: born=1000 running=[] ends=[]
 3100 c2 < report e2 born=1000 running=[] ends=[]
 3200     list e1 fence=2 ack=0 wait=1000: born=1000 running=[a#1] ends=[]
 3200 c2 < report e1 born=1000 running=[a#1] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > executor that is down (guards against an executor failure that is reported late, or retries without a delay) > executor that is down 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
  100     list e1 fence=1 ack=0 wait=1000: notSent
  100     list e1 fence=1 ack=0 wait=0: notSent
  100 c1 < report e1 born=1000 running=[] ends=[] unreachable
  200     list e1 fence=1 ack=0 wait=0: notSent
  400     list e1 fence=1 ack=0 wait=0: notSent
  800     list e1 fence=1 ack=0 wait=0: notSent
 1100 c1 < report e1 born=1000 running=[] ends=[] unreachable
 1300     list e1 fence=1 ack=0 wait=0: notSent
 1800     list e1 fence=1 ack=0 wait=0: notSent
 2100 c1 < report e1 born=1000 running=[] ends=[] unreachable
 2100 c1 > agent.start e1 b#1
 2100 c1 > agent.stop e1 a#1
 2100     probe e1 fence=1: born=1001 running=[] ends=[]
 2100     stop e1 a#1 fence=1: ok
 2100     list e1 fence=1 ack=0 wait=0: born=1001 running=[] ends=[]
 2100 c1 < report e1 born=1001 no list
 2100 c1 < agent.start e1 b#1: {"kind":"refused","reason":"incarnation"}
 2100 c1 < agent.stop e1 a#1: {"kind":"stopped","clockMs":2100}
 2100 c1 < report e1 born=1001 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > fencing of an older controller (guards against an order of an older controller that takes effect after a newer one has read the lists) > fencing of an older controller 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  100     list e1 fence=1 ack=0 wait=1000: unanswered
  100     list e1 fence=2 ack=0 wait=0: born=1000 running=[] ends=[]
  100 c1 < agent.start e1 a#1: {"kind":"refused","reason":"fence"}
  100 c2 < attach: attached [e1 born=1000 running=[] ends=[]]
  200 c1 > agent.lease e1
  200 c1 > agent.start e1 b#1
  200 c1 > agent.stop e1 b#1
  200 c1 < attach: {"variant":"Ok","value":{"kind":"refused","epoch":2}}
  200 c1 < agent.lease e1: {"kind":"refused","reason":"fence"}
  200 c1 < agent.start e1 b#1: {"kind":"refused","reason":"fence"}
  200 c1 < agent.stop e1 b#1: {"kind":"refused","reason":"fence"}
 1100     list e1 fence=2 ack=0 wait=1000: born=1000 running=[] ends=[]
 1100 c2 < report e1 born=1000 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > lost answer (guards against a run that is reported as refused although it is running) > lost answer 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  400     start e1 a#1 fence=1: ok
  400 c1 < agent.start e1 a#1: {"kind":"started","clockMs":400}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > only durable ends are acknowledged (guards against an end that the executor discards before the controller has written it) > only durable ends are acknowledged 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0 c1 > agent.start e1 b#1
    0     start e1 a#1 fence=1: ok
    0     start e1 b#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
    0 c1 < agent.start e1 b#1: {"kind":"started","clockMs":0}
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[b#1] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[b#1] ends=[1:a#1:done]
  100 c1 < report e1 born=1000 running=[b#1] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[b#1] ends=[1:a#1:done]
  300     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done 2:b#1:done]
  300     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done 2:b#1:done]
  300 c1 < report e1 born=1000 running=[] ends=[1:a#1:done 2:b#1:done]
  300 c1 > agent.lease e1
  300     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[1:a#1:done 2:b#1:done]
  300     list e1 fence=1 ack=1 wait=0: born=1000 running=[] ends=[2:b#1:done]
  300     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[2:b#1:done]
  300 c1 < agent.lease e1: {"kind":"accepted"}
  500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[2:b#1:done]
  700     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[2:b#1:done]
  800 c1 > agent.lease e1
  800     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[2:b#1:done]
  800     list e1 fence=1 ack=2 wait=0: born=1000 running=[] ends=[]
  800 c1 < agent.lease e1: {"kind":"accepted"}
 1300 c1 < report e1 born=1000 running=[] ends=[]
 1800     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > out-of-order heartbeats (guards against an outdated heartbeat that reverts a drain or restores an old incarnation) > out-of-order heartbeats 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 < report e1 born=1000 running=[] ends=[] draining
  100     probe e1 fence=1: born=1001 running=[] ends=[]
  100 c1 < report e1 born=1000 running=[] ends=[]
  100     list e1 fence=1 ack=0 wait=1000: notSent
  100     list e1 fence=1 ack=0 wait=0: born=1001 running=[] ends=[]
  100 c1 < report e1 born=1001 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > pace change (guards against a pace change that is reported as applied although the executor refused or never answered it) > pace change 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
  100 c1 > agent.pace e1 a#1 20%
  100 c1 > agent.pace e1 b#1 20%
  100 c1 > agent.pace e1 a#1 50%
  100     pace e1 a#1 20% fence=1: unanswered
  100     pace e1 b#1 20% fence=1: refused old
  100     pace e1 a#1 50% fence=1: ok
  100 c1 < agent.pace e1 a#1 20%: {"kind":"unclear"}
  100 c1 < agent.pace e1 b#1 20%: {"kind":"refused","reason":"old"}
  100 c1 < agent.pace e1 a#1 50%: {"kind":"paced","clockMs":100}
  200     list e1 fence=1 ack=0 wait=1000: unanswered
  200     list e1 fence=2 ack=0 wait=0: born=1000 running=[a#1] ends=[]
  200 c2 < attach: attached [e1 born=1000 running=[a#1] ends=[]]
  200 c1 > agent.pace e1 a#1 100%
  200 c2 > agent.pace e1 a#1 10%
  200     pace e1 a#1 10% fence=2: ok
  200 c1 < agent.pace e1 a#1 100%: {"kind":"refused","reason":"fence"}
  200 c2 < agent.pace e1 a#1 10%: {"kind":"paced","clockMs":200}
  300 c2 > agent.pace e1 a#1 0%
  300     list e1 fence=2 ack=0 wait=1000: notSent
  300     pace e1 a#1 0% fence=2: notSent
  300     list e1 fence=2 ack=0 wait=0: notSent
  300 c2 < report e1 born=1000 running=[a#1] ends=[] unreachable
  300 c2 < agent.pace e1 a#1 0%: {"kind":"unclear"}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > partitioned controller (guards against a connection that stays open although its controller does not answer) > partitioned controller 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 2000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 3000 c1 closed
 3000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 4000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > refusal after an unanswered attempt (guards against a first attempt that takes effect after the second one was refused) > refusal after an unanswered attempt 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  100 c1 > agent.start e1 b#1
  100     start e1 b#1 fence=1: ok
  100 c1 < agent.start e1 b#1: {"kind":"started","clockMs":100}
  400     start e1 a#1 fence=1: refused room
  400     stop e1 a#1 fence=1: ok
  400 c1 < agent.start e1 a#1: {"kind":"refused","reason":"room","stoppedClockMs":400}
 1000 c1 < report e1 born=1000 running=[] ends=[]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[b#1] ends=[]
 1000 c1 < report e1 born=1000 running=[b#1] ends=[]
 1100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1100 c1 < report e1 born=1000 running=[] ends=[1:b#1:done]
 1100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1300     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1700     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1900     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > start after its deadline (guards against a start from a paused controller that is forwarded after another may have taken the role) > start after its deadline 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 1000 c1 < report e1 born=1000 running=[] ends=[]
 1000 c1 > agent.start e1 a#1
 1000 c1 < agent.start e1 a#1: {"kind":"refused","reason":"late"}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > start on an executor that begins to drain (guards against an unanswered start that is retried on a draining executor) > start on an executor that begins to drain 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  100 c1 < report e1 born=1000 running=[] ends=[] draining
  400     stop e1 a#1 fence=1: ok
  400 c1 < agent.start e1 a#1: {"kind":"refused","reason":"draining","stoppedClockMs":400}
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 1100 c1 < report e1 born=1000 running=[] ends=[] draining
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > start that a previous agent process forwarded (guards against a run that is reported as refused, so that its task starts again before its end is listed) > start that a previous agent process forwarded 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
   50     list e1 fence=1 ack=0 wait=1000: unanswered
   50     probe e1 fence=1: born=1000 running=[a#1] ends=[]
   50 c1 closed
   50     list e1 fence=1 ack=0 wait=0: born=1000 running=[a#1] ends=[]
   50     list e1 fence=1 ack=0 wait=0: born=1000 running=[a#1] ends=[]
   50 c1 < attach: attached [e1 born=1000 running=[a#1] ends=[]]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100 c1 < report e1 born=1000 running=[] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  150 c1 > agent.start e1 a#1
  150     start e1 a#1 fence=1: refused old
  150     stop e1 a#1 fence=1: ok
  150 c1 < agent.start e1 a#1: {"kind":"refused","reason":"old","stoppedClockMs":150}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > stop while a start is retried (guards against a cancelled task that starts after its stop was answered) > stop while a start is retried 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  400     start e1 a#1 fence=1: unanswered
  500 c1 > agent.stop e1 a#1
  500     stop e1 a#1 fence=1: unanswered
  500 c1 < agent.start e1 a#1: {"kind":"abandoned"}
  900     stop e1 a#1 fence=1: ok
  900 c1 < agent.stop e1 a#1: {"kind":"stopped","clockMs":900}
 1000 c1 < report e1 born=1000 running=[] ends=[]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 2000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 2000 c1 < report e1 born=1000 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > stop while the executor does not answer a start (guards against a withdrawn start that the agent sends again, as on an executor of an evacuated data centre) > stop while the executor does not answer a start 1`] = `
    0     probe e1 fence=1: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
  500 c1 > agent.stop e1 a#1
  500 c1 < agent.start e1 a#1: {"kind":"abandoned"}
  900     stop e1 a#1 fence=1: ok
  900 c1 < agent.stop e1 a#1: {"kind":"stopped","clockMs":900}
 1000 c1 < report e1 born=1000 running=[] ends=[]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 2000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 2000 c1 < report e1 born=1000 running=[] ends=[]
`
