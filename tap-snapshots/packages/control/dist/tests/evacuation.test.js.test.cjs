/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/tests/evacuation.test.js > TAP > a backlog in an agent guards against starts that wait in the agent for a slot and are sent when one is free > must match snapshot 1`] = `
  3006 a.0.0.2#1 on x2: done 4506
  3006 a.0.0.3#1 on x2: done 4506
  3006 a.0.0.4#1 on x3: done 4506
  3006 a.0.0.5#1 on x3: done 4506
  9048 a.0.0.0#2 on x2: done 10548
  9048 a.0.0.1#2 on x2: done 10548
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a claim that becomes durable guards against a start that is sent because its claim was decided before the evacuation > must match snapshot 1`] = `
  3701 a.0.0.2#1 on x2: done 5201
  3701 a.0.0.3#1 on x2: done 5201
  3701 a.0.0.4#1 on x3: done 5201
  3701 a.0.0.5#1 on x3: done 5201
  5208 a.0.0.0#2 on x2: done 6708
  5208 a.0.0.1#2 on x2: done 6708
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a controller that the store refuses guards against an evacuation that only the other entries hear of > must match snapshot 1`] = `
  5006 a.0.0.0#1 on x2: done 6506
  5006 a.0.0.1#1 on x2: done 6506
  5006 a.0.0.2#1 on x3: done 6506
  5006 a.0.0.3#1 on x3: done 6506
  6513 a.0.0.4#1 on x2: done 8013
  6513 a.0.0.5#1 on x2: done 8013
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a deferred start guards against a start that waits for the renewal of the term and is sent after it > must match snapshot 1`] = `
  6758 a.0.0.0#2 on x2: done 8258
  6758 a.0.0.1#2 on x2: done 8258
  6758 a.0.0.2#2 on x3: done 8258
  6758 a.0.0.3#2 on x3: done 8258
  8265 a.0.0.4#2 on x2: done 9765
  8265 a.0.0.5#2 on x2: done 9765
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a gang of which one member has not started is stopped as a whole > a second after the evacuation 1`] = `
  3006 a.0.0.1#1 on x2: stopped 3301
  3006 a.0.0.2#1 on x3: broken 3301
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a resent start guards against a start that is sent again after the connection to the agent was lost > must match snapshot 1`] = `
  3006 a.0.0.2#1 on x2: done 4506
  3006 a.0.0.3#1 on x2: done 4506
  3006 a.0.0.4#1 on x3: done 4506
  3006 a.0.0.5#1 on x3: done 4506
  8406 a.0.0.0#2 on x2: done 9906
  8406 a.0.0.1#2 on x2: done 9906
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a retried start guards against an agent that goes on sending a start > must match snapshot 1`] = `
  3006 a.0.0.2#1 on x2: done 4506
  3006 a.0.0.3#1 on x2: done 4506
  3006 a.0.0.4#1 on x3: done 4506
  3006 a.0.0.5#1 on x3: done 4506
  6048 a.0.0.0#2 on x2: done 7548
  6048 a.0.0.1#2 on x2: done 7548
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a start in flight guards against a start that the executor carries out after the evacuation > must match snapshot 1`] = `
  3006 a.0.0.2#1 on x2: done 4506
  3006 a.0.0.3#1 on x2: done 4506
  3006 a.0.0.4#1 on x3: done 4506
  3006 a.0.0.5#1 on x3: done 4506
  4513 a.0.0.0#2 on x2: done 6013
  4513 a.0.0.1#2 on x2: done 6013
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a start of a controller that ended guards against a start that outlives its controller, and a next controller that does not know the evacuation > must match snapshot 1`] = `
  3006 a.0.0.2#1 on x2: done 4506
  3006 a.0.0.3#1 on x2: done 4506
  3006 a.0.0.4#1 on x3: done 4506
  3006 a.0.0.5#1 on x3: done 4506
  6021 a.0.0.0#2 on x2: done 7521
  6021 a.0.0.1#2 on x2: done 7521
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a start of entries that all restart guards against entries that begin to work before they know the evacuation > must match snapshot 1`] = `
  3006 a.0.0.2#1 on x2: done 4506
  3006 a.0.0.3#1 on x2: done 4506
  3006 a.0.0.4#1 on x3: done 4506
  3006 a.0.0.5#1 on x3: done 4506
  5750 a.0.0.0#2 on x2: done 7250
  5750 a.0.0.1#2 on x2: done 7250
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a store that drops its history after the evacuation guards against an evacuation that is forgotten when the table is scanned again > must match snapshot 1`] = `
  5006 a.0.0.0#1 on x2: done 6506
  5006 a.0.0.1#1 on x2: done 6506
  5006 a.0.0.2#1 on x3: done 6506
  5006 a.0.0.3#1 on x3: done 6506
  6513 a.0.0.4#1 on x2: done 8013
  6513 a.0.0.5#1 on x2: done 8013
`

exports[`packages/control/dist/tests/evacuation.test.js > TAP > a store that is lost after the evacuation guards against an evacuation that is forgotten while the store does not answer > must match snapshot 1`] = `
  9014 a.0.0.0#1 on x2: done 10514
  9014 a.0.0.1#1 on x2: done 10514
  9014 a.0.0.2#1 on x3: done 10514
  9014 a.0.0.3#1 on x3: done 10514
 10521 a.0.0.4#1 on x2: done 12021
 10521 a.0.0.5#1 on x2: done 12021
`
