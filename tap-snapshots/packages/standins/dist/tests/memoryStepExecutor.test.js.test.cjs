/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > fails all, stands still, slow, gone and silent > fails all, stands still, slow, gone and silent 1`] = `
0-0 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":0}}
3000-3000 start j.0.0.1#1: {"variant":"Ok","value":{"clockMs":3000}}
3000-3000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":3000,"running":[{"task":"j.0.0.1","run":1,"checkpoint":"","percent":0,"load":0}],"ends":[{"number":1,"task":"j.0.0.0","run":1,"kind":"failed","checkpoint":""}],"hasMoreEnds":false}}
4000-4000 list e1: {"variant":"Err","error":{"kind":"notSent","detail":"The connection was refused."}}
5000-10000 list e1: {"variant":"Err","error":{"kind":"unanswered","detail":"The executor is silent."}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > gang that breaks with a member's executor, and a member that stays alone > gang that breaks with a member's executor, and a member that stays alone 1`] = `
0-0 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":0}}
0-0 start j.0.0.1#1: {"variant":"Ok","value":{"clockMs":500}}
1000-1000 start j.0.0.1#2: {"variant":"Ok","value":{"clockMs":1500}}
2000-2000 start j.0.0.0#3: {"variant":"Ok","value":{"clockMs":2000}}
3000-3000 start j.0.0.1#3: {"variant":"Ok","value":{"clockMs":3500}}
4000-4000 list e2: {"variant":"Ok","value":{"born":1,"clockMs":4500,"running":[],"ends":[{"number":1,"task":"j.0.0.1","run":1,"kind":"done","checkpoint":""},{"number":2,"task":"j.0.0.1","run":2,"kind":"alone","checkpoint":""},{"number":3,"task":"j.0.0.1","run":3,"kind":"broken","checkpoint":""}],"hasMoreEnds":false}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > gang that ends together > gang that ends together 1`] = `
0-0 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":0}}
1000-1000 start j.0.0.1#1: {"variant":"Ok","value":{"clockMs":1500}}
1000-1000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":1000,"running":[{"task":"j.0.0.0","run":1,"checkpoint":"","percent":0,"load":0}],"ends":[],"hasMoreEnds":false}}
2000-2500 list e2: {"variant":"Ok","value":{"born":1,"clockMs":3000,"running":[],"ends":[{"number":1,"task":"j.0.0.1","run":1,"kind":"done","checkpoint":""}],"hasMoreEnds":false}}
2000-2500 list e1: {"variant":"Ok","value":{"born":1,"clockMs":2500,"running":[],"ends":[{"number":1,"task":"j.0.0.0","run":1,"kind":"done","checkpoint":""}],"hasMoreEnds":false}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > heartbeats > must match snapshot 1`] = `
{"info":{"executorId":"e1","born":1,"service":"steps","dataCentre":"dc1","isDraining":false,"capacity":{"milliCores":1000,"memoryMb":0,"accelerators":0},"labels":[]},"sequence":1}
{"info":{"executorId":"e1","born":1,"service":"steps","dataCentre":"dc1","isDraining":true,"remainingMs":2000,"capacity":{"milliCores":1000,"memoryMb":0,"accelerators":0},"labels":[]},"sequence":2}
{"info":{"executorId":"e1","born":2,"service":"steps","dataCentre":"dc1","isDraining":false,"capacity":{"milliCores":1000,"memoryMb":0,"accelerators":0},"labels":[]},"sequence":1}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > new incarnation that knows nothing > new incarnation that knows nothing 1`] = `
0-0 start j.0.0.0#2: {"variant":"Ok","value":{"clockMs":0}}
0-1000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":1000,"running":[],"ends":[{"number":1,"task":"j.0.0.0","run":2,"kind":"done","checkpoint":""}],"hasMoreEnds":false}}
1000-1000 list e1: {"variant":"Err","error":{"kind":"notSent","detail":"The connection was refused."}}
2000-2000 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":2000}}
2000-2000 list e1: {"variant":"Ok","value":{"born":2,"clockMs":2000,"running":[{"task":"j.0.0.0","run":1,"checkpoint":"","percent":0,"load":0}],"ends":[],"hasMoreEnds":false}}
3000-3000 list e1: {"variant":"Ok","value":{"born":2,"clockMs":3000,"running":[],"ends":[{"number":1,"task":"j.0.0.0","run":1,"kind":"done","checkpoint":""}],"hasMoreEnds":false}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > one lease for everything, which only extends > one lease for everything, which only extends 1`] = `
0-0 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":500}}
1000-1000 start j.0.0.1#1: {"variant":"Ok","value":{"clockMs":1500}}
2000-2500 list e2: {"variant":"Ok","value":{"born":1,"clockMs":3000,"running":[{"task":"j.0.0.1","run":1,"checkpoint":"","percent":0,"load":0}],"ends":[{"number":1,"task":"j.0.0.0","run":1,"kind":"lapsed","checkpoint":""}],"hasMoreEnds":false}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > orders carried out later, but not by the next incarnation > orders carried out later, but not by the next incarnation 1`] = `
0-0 start j.0.0.0#1: {"variant":"Err","error":{"kind":"unanswered","detail":"The order is under way."}}
1000-1000 start j.0.0.1#1: {"variant":"Err","error":{"kind":"unanswered","detail":"The order is under way."}}
2000-2000 list e1: {"variant":"Ok","value":{"born":2,"clockMs":2000,"running":[],"ends":[],"hasMoreEnds":false}}
3000-3000 list e1: {"variant":"Ok","value":{"born":2,"clockMs":3000,"running":[],"ends":[],"hasMoreEnds":false}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > progress, checkpoints and ends until they are acknowledged > progress, checkpoints and ends until they are acknowledged 1`] = `
0-0 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":0}}
0-0 start j.0.1.0#1: {"variant":"Ok","value":{"clockMs":0}}
1000-1000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":1000,"running":[{"task":"j.0.0.0","run":1,"checkpoint":"{\\"workMs\\":1000}","percent":40,"load":0}],"ends":[{"number":1,"task":"j.0.1.0","run":1,"kind":"failed","checkpoint":""}],"hasMoreEnds":false}}
2000-2500 list e1: {"variant":"Ok","value":{"born":1,"clockMs":2500,"running":[],"ends":[{"number":2,"task":"j.0.0.0","run":1,"kind":"done","checkpoint":"{\\"workMs\\":2000}"}],"hasMoreEnds":false}}
3000-3000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":3000,"running":[],"ends":[],"hasMoreEnds":false}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > refusals, and a repeated start > refusals, and a repeated start 1`] = `
0-0 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":0}}
1000-1000 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":1000}}
2000-2000 start j.0.0.1#1: {"variant":"Err","error":{"kind":"refused","reason":"room"}}
3000-3000 start j.0.0.1#1: {"variant":"Err","error":{"kind":"refused","reason":"late"}}
4000-4000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":4000,"running":[{"task":"j.0.0.0","run":1,"checkpoint":"","percent":0,"load":600}],"ends":[],"hasMoreEnds":false}}
5000-5000 start j.0.0.1#1: {"variant":"Err","error":{"kind":"refused","reason":"fence"}}
5000-5000 stop j.0.0.0#1: {"variant":"Err","error":{"kind":"refused","reason":"fence"}}
5000-5000 list e1: {"variant":"Err","error":{"kind":"refused","reason":"fence"}}
`

exports[`packages/standins/dist/tests/memoryStepExecutor.test.js > TAP > stop, and resumption from the checkpoint > stop, and resumption from the checkpoint 1`] = `
0-0 start j.0.0.0#1: {"variant":"Ok","value":{"clockMs":0}}
1000-1000 stop j.0.0.0#1: {"variant":"Ok","value":{"clockMs":1000}}
1000-1000 stop j.0.0.1#3: {"variant":"Ok","value":{"clockMs":1000}}
1000-1000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":1000,"running":[{"task":"j.0.0.0","run":1,"checkpoint":"{\\"workMs\\":1000}","percent":52,"load":0}],"ends":[],"hasMoreEnds":false}}
1000-1100 list e1: {"variant":"Ok","value":{"born":1,"clockMs":1100,"running":[],"ends":[{"number":1,"task":"j.0.0.0","run":1,"kind":"stopped","checkpoint":"{\\"workMs\\":1000}"}],"hasMoreEnds":false}}
2000-2000 start j.0.0.0#1: {"variant":"Err","error":{"kind":"refused","reason":"old"}}
2000-2000 start j.0.0.1#3: {"variant":"Err","error":{"kind":"refused","reason":"old"}}
2000-2000 start j.0.0.0#2: {"variant":"Ok","value":{"clockMs":2000}}
3000-3000 list e1: {"variant":"Ok","value":{"born":1,"clockMs":3000,"running":[],"ends":[{"number":1,"task":"j.0.0.0","run":1,"kind":"stopped","checkpoint":"{\\"workMs\\":1000}"},{"number":2,"task":"j.0.0.0","run":2,"kind":"done","checkpoint":"{\\"workMs\\":1000}"}],"hasMoreEnds":false}}
`
