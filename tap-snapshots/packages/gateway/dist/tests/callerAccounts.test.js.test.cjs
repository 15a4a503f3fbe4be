/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 01 the connection that was silent longest makes room for a new one 1`] = `
{
  closed: [ 'first' ],
  lines: [
    'level=warn event=caller.limited limit=maxConnections address=10.0.0.1 heldBytes=0 receivedBytes=0 unanswered=0 total=1'
  ],
  result: undefined,
  shedCounts: { maxConnections: 1 },
  totals: { connections: 2, heldBytes: 0, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 02 a request in progress keeps its connection 1`] = `
{
  closed: [ 'silent' ],
  lines: [
    'level=warn event=caller.limited limit=maxConnectionsPerAddress address=10.0.0.1 heldBytes=0 receivedBytes=0 unanswered=0 total=1'
  ],
  result: undefined,
  shedCounts: { maxConnectionsPerAddress: 1 },
  totals: { connections: 2, heldBytes: 0, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 03 the address with most connections makes room 1`] = `
{
  closed: [ 'first' ],
  lines: [
    'level=warn event=caller.limited limit=maxConnections address=10.0.0.1 heldBytes=0 receivedBytes=0 unanswered=0 total=1'
  ],
  result: undefined,
  shedCounts: { maxConnections: 1 },
  totals: { connections: 3, heldBytes: 0, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 04 too many unanswered requests on one connection 1`] = `
{
  closed: [ 'ahead' ],
  lines: [
    'level=warn event=caller.limited limit=maxUnansweredPerConnection address=10.0.0.1 heldBytes=0 receivedBytes=0 unanswered=2 total=1'
  ],
  result: [ 'admitted', 'admitted', 'closed', 'closed' ],
  shedCounts: { maxUnansweredPerConnection: 1 },
  totals: { connections: 0, heldBytes: 0, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 05 the connection with most unanswered requests makes room 1`] = `
{
  closed: [ 'ahead' ],
  lines: [
    'level=warn event=caller.limited limit=maxUnanswered address=10.0.0.1 heldBytes=0 receivedBytes=0 unanswered=3 total=1'
  ],
  result: [ 'admitted' ],
  shedCounts: { maxUnanswered: 1 },
  totals: { connections: 2, heldBytes: 0, unanswered: 2 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 06 a request is refused if each connection has one 1`] = `
{
  closed: [],
  lines: [
    'level=warn event=caller.limited limit=maxUnanswered address=10.0.0.1 heldBytes=0 receivedBytes=0 unanswered=0 total=1'
  ],
  result: [ [ 'admitted' ], [ 'admitted' ], [ 'refused' ] ],
  shedCounts: { maxUnanswered: 1 },
  totals: { connections: 3, heldBytes: 0, unanswered: 2 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 07 small chunks are shed before large bodies 1`] = `
{
  closed: [ 'small chunks' ],
  lines: [
    'level=warn event=caller.limited limit=maxHeldBytes address=10.0.0.1 heldBytes=400 receivedBytes=4 unanswered=0 total=1'
  ],
  result: undefined,
  shedCounts: { maxHeldBytes: 1 },
  totals: { connections: 2, heldBytes: 700, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 08 a silent holder is shed before one that sends 1`] = `
{
  closed: [ 'silent' ],
  lines: [
    'level=warn event=caller.limited limit=maxHeldBytesPerAddress address=10.0.0.1 heldBytes=400 receivedBytes=400 unanswered=0 total=1'
  ],
  result: undefined,
  shedCounts: { maxHeldBytesPerAddress: 1 },
  totals: { connections: 3, heldBytes: 1650, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 09 too much on one connection 1`] = `
{
  closed: [ 'holder' ],
  lines: [
    'level=warn event=caller.limited limit=maxHeldBytesPerConnection address=10.0.0.1 heldBytes=1001 receivedBytes=10 unanswered=0 total=1'
  ],
  result: undefined,
  shedCounts: { maxHeldBytesPerConnection: 1 },
  totals: { connections: 0, heldBytes: 0, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 10 what has ended or closed is no longer counted 1`] = `
{
  closed: [],
  lines: [],
  result: [ 'closed' ],
  shedCounts: {},
  totals: { connections: 1, heldBytes: 0, unanswered: 0 }
}
`

exports[`packages/gateway/dist/tests/callerAccounts.test.js > TAP > limits on what callers occupy > 11 changed limits apply to what follows 1`] = `
{
  closed: [ 'ahead' ],
  lines: [
    'level=warn event=caller.limited limit=maxUnansweredPerConnection address=10.0.0.1 heldBytes=0 receivedBytes=0 unanswered=1 total=1'
  ],
  result: [ 'admitted', 'closed' ],
  shedCounts: { maxUnansweredPerConnection: 1 },
  totals: { connections: 0, heldBytes: 0, unanswered: 0 }
}
`
