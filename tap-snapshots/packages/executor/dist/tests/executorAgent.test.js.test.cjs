/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > agent that starts again (guards against runs and ends that are lost with the agent's process) > agent that starts again 1`] = `
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
  200 c1 closed
  400 c1 < attach: attached []
  500     list e1 fence=1 ack=0 wait=0: born=1000 running=[a#1] ends=[1:b#1:done]
  500 c1 < report e1 born=1000 no list
  500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[a#1] ends=[1:b#1:done]
  500 c1 < report e1 born=1000 running=[a#1] ends=[1:b#1:done]
  700     list e1 fence=1 ack=0 wait=1000: born=1000 running=[a#1] ends=[1:b#1:done]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > authority that has ended (guards against a start of a controller that was paused, passed on after another may have taken the role) > authority that has ended 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 1000 c1 < report e1 born=1000 running=[] ends=[]
 1000 c1 > agent.start e1 a#1
 1000 c1 < agent.start e1 a#1: {"kind":"refused","reason":"late"}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > controller that is cut off (guards against a connection that is kept although its controller does not answer) > controller that is cut off 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
 1000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 2000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 3000 c1 closed
 3000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
 4000     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > crash and restart under the same id (guards against an end of the new incarnation that is acknowledged under the number of an old one) > crash and restart under the same id 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100 c1 < report e1 born=1000 running=[] ends=[1:a#1:done]
  200 c1 > agent.lease e1
  200     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[1:a#1:done]
  200     list e1 fence=1 ack=1 wait=0: born=1000 running=[] ends=[]
  200 c1 < agent.lease e1: {"kind":"accepted"}
  260     list e1 fence=1 ack=0 wait=1000: gone
  260 c1 < report e1 born=1000 no list gone
  310     list e1 fence=1 ack=0 wait=0: born=1001 running=[] ends=[1:b#1:done]
  310     list e1 fence=1 ack=0 wait=1000: born=1001 running=[] ends=[1:b#1:done]
  310 c1 < report e1 born=1001 running=[] ends=[1:b#1:done]
  510     list e1 fence=1 ack=0 wait=1000: born=1001 running=[] ends=[1:b#1:done]
  550 c1 > agent.lease e1
  550 c1 < agent.lease e1: {"kind":"refused","reason":"incarnation"}
  710     list e1 fence=1 ack=0 wait=1000: born=1001 running=[] ends=[1:b#1:done]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > deadline passes before an answer (guards against an order that takes effect after its start was reported as refused) > deadline passes before an answer 1`] = `
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

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > draining executor and its successor (guards against a start on an executor that leaves, or an old executor that hides the new one) > draining executor and its successor 1`] = `
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
  700     list e1 fence=1 ack=0 wait=1000: gone
  700 c1 < report e1 born=1000 no list draining gone
  750     list e1 fence=1 ack=0 wait=0: gone
  850     list e1 fence=1 ack=0 wait=0: gone
 1000     list e2 fence=1 ack=0 wait=1000: born=2000 running=[c#1] ends=[]
 1000 c1 < report e2 born=2000 running=[c#1] ends=[]
 1000 c1 > agent.stop e1 a#1
 1000     stop e1 a#1 fence=1: gone
 1000 c1 < agent.stop e1 a#1: {"kind":"gone"}
63000     list e2 fence=2 ack=0 wait=0: born=2000 running=[] ends=[1:c#1:lapsed]
63000     list e2 fence=2 ack=0 wait=1000: born=2000 running=[] ends=[1:c#1:lapsed]
63000 c2 < attach: attached [e2 born=2000 running=[] ends=[1:c#1:lapsed]]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > ends are acknowledged up to what is durable (guards against an end that the executor forgets before the controller has written it) > ends are acknowledged up to what is durable 1`] = `
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

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > executor that does not answer while a controller attaches (guards against a controller that waits for a silent executor, or takes an older list for one under its epoch) > executor that does not answer while a controller attaches 1`] = `
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

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > executor that is gone (guards against a lost executor that is reported late, or retries without a pause) > executor that is gone 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
  100     list e1 fence=1 ack=0 wait=1000: gone
  100 c1 < report e1 born=1000 no list gone
  150     list e1 fence=1 ack=0 wait=0: gone
  250     list e1 fence=1 ack=0 wait=0: gone
  450     list e1 fence=1 ack=0 wait=0: gone
  850     list e1 fence=1 ack=0 wait=0: gone
 1100 c1 < report e1 born=1000 no list gone
 1350     list e1 fence=1 ack=0 wait=0: gone
 1850     list e1 fence=1 ack=0 wait=0: gone
 2100 c1 < report e1 born=1000 no list gone
 2100 c1 > agent.start e1 b#1
 2100 c1 > agent.stop e1 a#1
 2100     list e1 fence=1 ack=0 wait=0: born=1001 running=[] ends=[]
 2100 c1 < report e1 born=1001 no list
 2100     stop e1 a#1 fence=1: ok
 2100 c1 < agent.start e1 b#1: {"kind":"refused","reason":"incarnation"}
 2100 c1 < report e1 born=1001 running=[] ends=[]
 2100 c1 < agent.stop e1 a#1: {"kind":"stopped","clockMs":2100}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > fence of an older controller (guards against an order of an older controller that takes effect after a newer one has read the lists) > fence of an older controller 1`] = `
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

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > heartbeats out of order (guards against an old heartbeat that undoes a drain or brings back an old incarnation) > heartbeats out of order 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 < report e1 born=1000 running=[] ends=[] draining
  100     list e1 fence=1 ack=0 wait=1000: gone
  100 c1 < report e1 born=1001 no list
  100     list e1 fence=1 ack=0 wait=0: born=1001 running=[] ends=[]
  100 c1 < report e1 born=1001 running=[] ends=[]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > late order (guards against a task that runs twice because its first order took effect after the second) > late order 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  400     start e1 a#1 fence=1: ok
  400 c1 < agent.start e1 a#1: {"kind":"started","clockMs":400}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > lost answer (guards against a run that the controller takes for refused although it works) > lost answer 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: unanswered
  400     start e1 a#1 fence=1: ok
  400 c1 < agent.start e1 a#1: {"kind":"started","clockMs":400}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > refusal after an unanswered try (guards against a first try that takes effect after the second one was refused) > refusal after an unanswered try 1`] = `
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
 1300     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1500     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1700     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
 1900     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:b#1:done]
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > start of an executor that begins to drain (guards against an unanswered start that is repeated on an executor that leaves) > start of an executor that begins to drain 1`] = `
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

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > start that an earlier agent passed on (guards against a run that is taken for refused, so that its task starts again before its end is listed) > start that an earlier agent passed on 1`] = `
    0     list e1 fence=1 ack=0 wait=0: born=1000 running=[] ends=[]
    0 c1 < attach: attached [e1 born=1000 running=[] ends=[]]
    0 c1 > agent.start e1 a#1
    0     start e1 a#1 fence=1: ok
    0 c1 < agent.start e1 a#1: {"kind":"started","clockMs":0}
   50     list e1 fence=1 ack=0 wait=1000: unanswered
   50 c1 closed
   50     list e1 fence=1 ack=0 wait=0: born=1000 running=[a#1] ends=[]
   50 c1 < attach: attached [e1 born=1000 running=[a#1] ends=[]]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100     list e1 fence=1 ack=0 wait=1000: born=1000 running=[] ends=[1:a#1:done]
  100 c1 < report e1 born=1000 running=[] ends=[1:a#1:done]
  150 c1 > agent.start e1 a#1
  150     start e1 a#1 fence=1: refused old
  150     stop e1 a#1 fence=1: ok
  150 c1 < agent.start e1 a#1: {"kind":"refused","reason":"old","stoppedClockMs":150}
`

exports[`packages/executor/dist/tests/executorAgent.test.js > TAP > stop while a start is repeated (guards against a cancelled task that starts after its stop was answered) > stop while a start is repeated 1`] = `
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
