/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/memoryRowStore.test.js > TAP > commits that take effect later, if their conditions still hold > commits that take effect later, if their conditions still hold 1`] = `
0 a commit: {"variant":"Err","error":{"kind":"unclear","detail":"the commit is delayed"}}
0 a commit: {"variant":"Err","error":{"kind":"unclear","detail":"the commit is delayed"}}
100 b commit: {"variant":"Ok","value":{"version":1,"nowMs":100}}
200 a scan: {"variant":"Ok","value":{"rows":[{"key":"x","value":"first","version":1},{"key":"y","value":"late","version":2}],"hasMore":false,"version":2,"nowMs":200}}
`

exports[`packages/standins/dist/tests/memoryRowStore.test.js > TAP > down, refusing one client, and slow > down, refusing one client, and slow 1`] = `
100 a follow 0: {"variant":"Err","error":{"kind":"unavailable","detail":"the store refuses a"}}
200 a commit: {"variant":"Err","error":{"kind":"unavailable","detail":"the store refuses a"}}
200 b commit: {"variant":"Ok","value":{"version":1,"nowMs":200}}
200 b follow 0: {"variant":"Ok","value":{"rows":[{"key":"x","value":"2","version":1}],"version":1,"nowMs":200}}
330 a commit: {"variant":"Ok","value":{"version":2,"nowMs":330}}
430 b scan: {"variant":"Err","error":{"kind":"unavailable","detail":"the store is down"}}
`

exports[`packages/standins/dist/tests/memoryRowStore.test.js > TAP > followers receive the newest value of each row, in order > followers receive the newest value of each row, in order 1`] = `
100 a commit: {"variant":"Ok","value":{"version":1,"nowMs":100}}
100 a commit: {"variant":"Ok","value":{"version":2,"nowMs":100}}
100 a commit: {"variant":"Ok","value":{"version":3,"nowMs":100}}
100 b follow 0: {"variant":"Ok","value":{"rows":[{"key":"y","value":"1","version":2},{"key":"x","value":"2","version":3}],"version":3,"nowMs":100}}
200 b follow 0: {"variant":"Ok","value":{"rows":[{"key":"y","value":"1","version":2},{"key":"x","value":"2","version":3}],"version":3,"nowMs":200}}
300 a commit: {"variant":"Ok","value":{"version":4,"nowMs":300}}
400 b follow 3: {"variant":"Ok","value":{"rows":[{"key":"x","version":4}],"version":4,"nowMs":400}}
550 b follow 4: {"variant":"Ok","value":{"rows":[],"version":4,"nowMs":550}}
`

exports[`packages/standins/dist/tests/memoryRowStore.test.js > TAP > history that was dropped > history that was dropped 1`] = `
0 a commit: {"variant":"Ok","value":{"version":1,"nowMs":0}}
200 b follow 0: {"variant":"Err","error":{"kind":"compacted"}}
350 b follow 1: {"variant":"Ok","value":{"rows":[],"version":1,"nowMs":350}}
`

exports[`packages/standins/dist/tests/memoryRowStore.test.js > TAP > lost answer > lost answer 1`] = `
0 a commit: {"variant":"Err","error":{"kind":"unclear","detail":"the answer was lost"}}
100 a commit: {"variant":"Err","error":{"kind":"conflict","rows":[{"key":"x","value":"1","version":1}]}}
`

exports[`packages/standins/dist/tests/memoryRowStore.test.js > TAP > scans have a limit and a range > scans have a limit and a range 1`] = `
0 a commit: {"variant":"Ok","value":{"version":1,"nowMs":0}}
100 a scan: {"variant":"Ok","value":{"rows":[{"key":"a/1","value":"","version":1},{"key":"a/2","value":"","version":1}],"hasMore":true,"version":1,"nowMs":100}}
200 a scan: {"variant":"Ok","value":{"rows":[{"key":"a/3","value":"","version":1}],"hasMore":false,"version":1,"nowMs":200}}
`

exports[`packages/standins/dist/tests/memoryRowStore.test.js > TAP > transactions take effect together or not at all > transactions take effect together or not at all 1`] = `
0 a commit: {"variant":"Ok","value":{"version":1,"nowMs":0}}
100 b commit: {"variant":"Err","error":{"kind":"conflict","rows":[{"key":"x","value":"1","version":1}]}}
200 b commit: {"variant":"Ok","value":{"version":2,"nowMs":200}}
300 a scan: {"variant":"Ok","value":{"rows":[{"key":"y","value":"2","version":2}],"hasMore":false,"version":2,"nowMs":300}}
`
