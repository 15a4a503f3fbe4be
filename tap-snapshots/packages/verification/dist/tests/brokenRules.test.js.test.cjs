/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule acceptBeforeWrite > must match snapshot 1`] = `
1. outage
2. accept job 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule acknowledgeBeforeWrite > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
5. finish task 0, executor 0
6. list controller 0, executor 0
7. renew controller 0, executor 0
8. deliver lease to executor 0.1, epoch 1, deadline 1, acknowledges 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule acknowledgeOlderLife > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
5. failRun task 0, executor 0
6. list controller 0, executor 0
7. place controller 0, on executor 0
8. write controller 0
9. order controller 0, task 0, executor 0
10. renew controller 0, executor 0
11. restartExecutor executor 0
12. deliver start of task 0 run 2 to executor 0.1, epoch 1, deadline 0
13. finish task 0, executor 0
14. deliver lease to executor 0.1, epoch 1, deadline 1, acknowledges 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule agentWithoutFencing > must match snapshot 1`] = `
1. takeRole holder 1
2. fence agent 0, holder 1
3. reserve attempt 0.1, agent 0, holder 0
4. deliver fence to agent 0, epoch 2
5. deliver reserve 0.1 to agent 0, epoch 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule cancelWithoutCompare > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0 and 1, holder 0
2. deliver reserve 0.1 to agent 0, epoch 1
3. replaceVm agent 0
4. deliver reserve 0.1 to agent 1, epoch 1
5. replaceVm agent 1
6. claim attempt 0.1, holder 0
7. report agent 0, holder 0
8. report agent 1, holder 0
9. conclude attempt 0.1, holder 0
10. cancel job 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule claimWithoutEpochCheck > must match snapshot 1`] = `
1. takeRole holder 1
2. fence agent 0, holder 1
3. reserve attempt 0.1, agent 0, holder 0
4. deliver reserve 0.1 to agent 0, epoch 1
5. claim attempt 0.1, holder 0
6. deliver start 0.1 to agent 0, epoch 1
7. finish attempt 0.1, agent 0
8. deliver fence to agent 0, epoch 2
9. reserve attempt 0.2, agent 0, holder 1
10. deliver reserve 0.2 to agent 0, epoch 2
11. claim attempt 0.2, holder 1
12. deliver start 0.2 to agent 0, epoch 2
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule configWithoutVersionCheck > must match snapshot 1`] = `
1. pushConfig agent 0
2. loadConfig
3. pushConfig agent 0
4. deliver configuration 2 to agent 0
5. deliver configuration 1 to agent 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule countEveryFailure > must match snapshot 1`] = `
1. place controller 0, on executor 0 and 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. order controller 0, task 1, executor 0
5. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
6. failRun task 0, executor 0
7. deliver start of task 1 run 1 to executor 0.1, epoch 1, deadline 0
8. failRun task 1, executor 0
9. list controller 0, executor 0
10. write controller 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule countLateFailureAgain > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
5. failRun task 0, executor 0
6. list controller 0, executor 0
7. place controller 0, on executor 0
8. write controller 0
9. order controller 0, task 0, executor 0
10. deliver start of task 0 run 2 to executor 0.1, epoch 1, deadline 0
11. failRun task 0, executor 0
12. list controller 0, executor 0
13. write controller 0
14. takeRole controller 1
15. list controller 1, executor 0
16. write controller 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule dropLateDone > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. detach controller 0, executor 0
5. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
6. finish task 0, executor 0
7. tick
8. tick
9. giveUp controller 0, executor 0
10. write controller 0
11. list controller 0, executor 0
12. renew controller 0, executor 0
13. deliver lease to executor 0.1, epoch 1, deadline 3, acknowledges 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule dropLateDoneAfterTakeover > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. takeRole controller 1
4. order controller 0, task 0, executor 0
5. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
6. finish task 0, executor 0
7. tick
8. tick
9. giveUp controller 1, executor 0
10. write controller 1
11. list controller 1, executor 0
12. renew controller 1, executor 0
13. deliver lease to executor 0.1, epoch 2, deadline 3, acknowledges 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule freeAtStop > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. preempt controller 0, task 0, executor 0
5. stop controller 0, task 0, executor 0
6. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
7. deliver stop of task 0 run 1 to executor 0, epoch 1
8. list controller 0, executor 0
9. place controller 0, on executor 0
10. write controller 0
11. order controller 0, task 0, executor 0
12. deliver start of task 0 run 2 to executor 0.1, epoch 1, deadline 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule gangGoesOnWithoutLease > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0 and 1, holder 0
2. deliver reserve 0.1 to agent 0, epoch 1
3. deliver reserve 0.1 to agent 1, epoch 1
4. claim attempt 0.1, holder 0
5. crashHolder holder 0
6. deliver start 0.1 to agent 0, epoch 1
7. tick
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule goneBeforeLapse > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. detach controller 0, executor 0
5. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
6. giveUp controller 0, executor 0
7. place controller 0, on executor 1
8. write controller 0
9. order controller 0, task 0, executor 1
10. deliver start of task 0 run 2 to executor 1.1, epoch 1, deadline 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule goneByOlderList > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. report controller 0, executor 0
4. order controller 0, task 0, executor 0
5. preempt controller 0, task 0, executor 0
6. stop controller 0, task 0, executor 0
7. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
8. deliver stop of task 0 run 1 to executor 0, epoch 1
9. deliver report of executor 0.1, epoch 1
10. place controller 0, on executor 0
11. write controller 0
12. order controller 0, task 0, executor 0
13. deliver start of task 0 run 2 to executor 0.1, epoch 1, deadline 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule leaseFromReceipt > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0 and 1, holder 0
2. deliver reserve 0.1 to agent 0, epoch 1
3. deliver reserve 0.1 to agent 1, epoch 1
4. claim attempt 0.1, holder 0
5. deliver start 0.1 to agent 0, epoch 1
6. tick
7. report agent 0, holder 0
8. tick
9. deliver grant of 2 ticks to agent 0, epoch 1
10. tick
11. tick
12. conclude attempt 0.1, holder 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule loseRunsOfOlderLife > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. restartExecutor executor 0
5. list controller 0, executor 0
6. place controller 0, on executor 0
7. write controller 0
8. order controller 0, task 0, executor 0
9. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
10. deliver start of task 0 run 2 to executor 0.2, epoch 1, deadline 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule neverStartedOfNewInstance > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0 and 1, holder 0
2. deliver reserve 0.1 to agent 0, epoch 1
3. deliver reserve 0.1 to agent 1, epoch 1
4. claim attempt 0.1, holder 0
5. cancel job 0
6. deliver start 0.1 to agent 0, epoch 1
7. replaceVm agent 0
8. stop attempt 0.1, holder 0
9. deliver stop 0.1 to agent 0, epoch 1
10. deliver stop 0.1 to agent 1, epoch 1
11. conclude attempt 0.1, holder 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule orderAfterAuthority > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. takeRole controller 1
4. tick
5. order controller 0, task 0, executor 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule orderAfterCancellation > must match snapshot 1`] = `
1. cancel
2. place controller 0, on executor 0
3. seeCancel controller 0
4. write controller 0
5. order controller 0, task 0, executor 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule orderBeforeWrite > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. order controller 0, task 0, executor 0
3. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule orderWithoutToken > must match snapshot 1`] = `
1. takeRole controller 1
2. list controller 1, executor 0
3. place controller 1, on executor 0
4. write controller 1
5. order controller 1, task 0, executor 0
6. deliver start of task 0 run 1 to executor 0.1, epoch 2, deadline 0
7. tick
8. list controller 0, executor 0
9. renew controller 0, executor 0
10. deliver lease to executor 0.1, epoch 1, deadline 1, acknowledges 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule placeBeforeListing > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. takeRole controller 1
4. list controller 1, executor 1
5. giveUp controller 1, executor 0
6. place controller 1, on executor 1
7. write controller 1
8. order controller 0, task 0, executor 0
9. order controller 1, task 0, executor 1
10. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
11. deliver start of task 0 run 2 to executor 1.1, epoch 2, deadline 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule recordLateDone > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. detach controller 0, executor 0
5. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
6. finish task 0, executor 0
7. tick
8. tick
9. giveUp controller 0, executor 0
10. place controller 0, on executor 1
11. write controller 0
12. order controller 0, task 0, executor 1
13. list controller 0, executor 0
14. write controller 0
15. renew controller 0, executor 0
16. deliver lease to executor 0.1, epoch 1, deadline 3, acknowledges 1
17. deliver start of task 0 run 2 to executor 1.1, epoch 1, deadline 2
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule recordLateGang > must match snapshot 1`] = `
1. place controller 0, on executor 0 and 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. order controller 0, task 1, executor 0
5. detach controller 0, executor 0
6. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
7. deliver start of task 1 run 1 to executor 0.1, epoch 1, deadline 0
8. finish task 0, executor 0
9. tick
10. tick
11. giveUp controller 0, executor 0
12. place controller 0, on executor 1 and 1
13. write controller 0
14. order controller 0, task 0, executor 1
15. list controller 0, executor 0
16. write controller 0
17. deliver start of task 0 run 2 to executor 1.1, epoch 1, deadline 2
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule reserveWithoutCapacityCheck > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0 and 1, holder 0
2. reserve attempt 1.1, agent 0 and 1, holder 0
3. deliver reserve 0.1 to agent 0, epoch 1
4. deliver reserve 1.1 to agent 0, epoch 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule retryAfterUnclear > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0, holder 0
2. deliver reserve 0.1 to agent 0, epoch 1
3. claim attempt 0.1, holder 0
4. stop attempt 0.1, holder 0
5. deliver start 0.1 to agent 0, epoch 1
6. deliver stop 0.1 to agent 0, epoch 1
7. conclude attempt 0.1, holder 0
8. reserve attempt 0.2, agent 0, holder 0
9. deliver reserve 0.2 to agent 0, epoch 1
10. claim attempt 0.2, holder 0
11. deliver start 0.2 to agent 0, epoch 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule startAfterDeadline > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. detach controller 0, executor 0
5. tick
6. tick
7. giveUp controller 0, executor 0
8. place controller 0, on executor 1
9. write controller 0
10. order controller 0, task 0, executor 1
11. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
12. deliver start of task 0 run 2 to executor 1.1, epoch 1, deadline 2
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule startStoppedRun > must match snapshot 1`] = `
1. place controller 0, on executor 0
2. write controller 0
3. order controller 0, task 0, executor 0
4. repeat start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
5. finish task 0, executor 0
6. list controller 0, executor 0
7. write controller 0
8. renew controller 0, executor 0
9. deliver lease to executor 0.1, epoch 1, deadline 1, acknowledges 1
10. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule startWithoutClaim > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0, holder 0
2. cancel job 0
3. outage
4. deliver reserve 0.1 to agent 0, epoch 1
5. deferClaim attempt 0.1, holder 0
6. deliver start 0.1 to agent 0, epoch 1
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule startWithoutReservation > must match snapshot 1`] = `
1. reserve attempt 0.1, agent 0 and 1, holder 0
2. deliver reserve 0.1 to agent 0, epoch 1
3. deliver reserve 0.1 to agent 1, epoch 1
4. claim attempt 0.1, holder 0
5. stop attempt 0.1, holder 0
6. deliver stop 0.1 to agent 0, epoch 1
7. deliver start 0.1 to agent 0, epoch 1
8. deliver stop 0.1 to agent 1, epoch 1
9. conclude attempt 0.1, holder 0
`

exports[`packages/verification/dist/tests/brokenRules.test.js > TAP > broken rule writeWithoutConditions > must match snapshot 1`] = `
1. takeRole controller 1
2. place controller 0, on executor 0
3. write controller 0
4. order controller 0, task 0, executor 0
5. deliver start of task 0 run 1 to executor 0.1, epoch 1, deadline 0
6. tick
7. list controller 1, executor 0
8. renew controller 1, executor 0
9. deliver lease to executor 0.1, epoch 2, deadline 2, acknowledges 1
`
