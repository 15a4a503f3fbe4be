/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/tests/storeRoutes.test.js > TAP > the log shows a poll that does not end > events 1`] = `
[
  { event: 'store.overdue', level: 'warn', ms: 3000, table: 'operator' },
  { event: 'store.overdueEnded', level: 'info', ms: 8000, table: 'operator' },
  {
    ageMs: 8000,
    detail: 'the store does not answer n1',
    event: 'store.lost',
    level: 'warn',
    table: 'operator'
  },
  { event: 'store.overdue', level: 'warn', ms: 3000, table: 'operator' }
]
`

exports[`packages/control/dist/tests/storeRoutes.test.js > TAP > the log shows each change of the route to the store > events 1`] = `
[
  {
    event: 'store.routeChanged',
    failed: 'direct: the store does not answer n1; n2: the store does not answer n2',
    level: 'info',
    previous: 'direct',
    route: 'n2',
    silenceMs: 4700,
    table: 'operator'
  },
  {
    event: 'store.routeChanged',
    failed: '',
    level: 'info',
    previous: 'n2',
    route: 'direct',
    silenceMs: 1300,
    table: 'operator'
  }
]
`
