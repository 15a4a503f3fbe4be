/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/backing/dist/tests/httpClients.test.js > TAP > broken answers of workers, executors and object stores > broken 1`] = `
[ 'worker: unavailable', 'executor: unavailable', 'store: unavailable' ]
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > broken answers of workers, executors and object stores > cut 1`] = `
[ 'worker: unavailable', 'executor: unavailable', 'store: unavailable' ]
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > broken answers of workers, executors and object stores > cutHalfway 1`] = `
[ 'worker: unavailable', 'executor: unavailable', 'store: unavailable' ]
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > broken answers of workers, executors and object stores > down 1`] = `
[ 'worker: unavailable', 'executor: unavailable', 'store: unavailable' ]
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > broken answers of workers, executors and object stores > notJson 1`] = `
[ 'worker: unavailable', 'executor: unavailable', 'store: unavailable' ]
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > broken answers of workers, executors and object stores > otherAttempt 1`] = `
[ 'worker: unavailable', 'executor: unavailable', 'store: unavailable' ]
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > answer cut halfway 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > answer lost, conflict found 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w' ], outcome: 'conflict' }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > answer lost, then down 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w', 'GET /writes/w', 'GET /writes/w' ], outcome: 'unclear' }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > answer lost, write found 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > answer lost, write not found, sent again 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w', 'POST /transactions' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > answer lost, write not found, then a conflict 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w', 'POST /transactions' ], outcome: 'conflict' }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > broken JSON 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > conflict 1`] = `
{ calls: [ 'POST /transactions' ], outcome: 'conflict' }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > down 1`] = `
{
  calls: [ 'POST /transactions', 'POST /transactions', 'POST /transactions', 'POST /transactions' ],
  outcome: 'unavailable'
}
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > down for a moment 1`] = `
{ calls: [ 'POST /transactions', 'POST /transactions' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > error 500, then found 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > every answer broken 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w', 'GET /writes/w', 'GET /writes/w' ], outcome: 'unclear' }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > every answer lost 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w', 'GET /writes/w', 'GET /writes/w' ], outcome: 'unclear' }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > JSON of another shape 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > status 503 of another sender 1`] = `
{ calls: [ 'POST /transactions', 'GET /writes/w' ], outcome: { k: 1 } }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > commits to a failing table > transaction refused 1`] = `
{ calls: [ 'POST /transactions' ], outcome: 'unavailable' }
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > load during an outage > with the breaker 1`] = `
5
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > load during an outage > with the retry budget alone 1`] = `
119
`

exports[`packages/backing/dist/tests/httpClients.test.js > TAP > nothing listens > must match snapshot 1`] = `
[ 'refused', 'unavailable' ]
`
