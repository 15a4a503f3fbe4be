/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/tests/passSchedule.test.js > TAP > passes are paced by their own time > must match snapshot 1`] = `
{
  'due times that are missed while nothing happens': { passes: 8, share: 0 },
  'fast passes that wait without need': { passes: 201, share: 0.1 },
  'slow passes that leave no time to answer requesters': { passes: 9, share: 0.27 },
  'urgent work that waits for the share of other work': { passes: 17, share: 0.51 }
}
`
