/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/tests/evacuationHolder.test.js > TAP > a reset without a row > must match snapshot 1`] = `
[
  {
    lines: [
      { dataCentre: 'west', event: 'evacuation.started', peer: undefined, silenceMs: 12, version: 1 },
      { dataCentre: 'east', event: 'evacuation.started', peer: undefined, silenceMs: 12, version: 1 }
    ],
    notices: 1,
    state: { dataCentres: [ 'west', 'east' ], version: 1 },
    step: 'reset at 1: west east'
  },
  {
    lines: [ { dataCentre: 'west', event: 'evacuation.ended', peer: undefined, silenceMs: 12, version: 8 } ],
    notices: 1,
    state: { dataCentres: [ 'east' ], version: 8 },
    step: 'reset at 8: east'
  }
]
`

exports[`packages/control/dist/tests/evacuationHolder.test.js > TAP > changes before the first reset > must match snapshot 1`] = `
[
  { lines: [], notices: 0, state: undefined, step: 'changes: +west@3' },
  {
    lines: [ { dataCentre: 'west', event: 'evacuation.started', peer: undefined, silenceMs: 12, version: 4 } ],
    notices: 1,
    state: { dataCentres: [ 'west' ], version: 4 },
    step: 'reset at 4: west'
  }
]
`

exports[`packages/control/dist/tests/evacuationHolder.test.js > TAP > older rows after a takeover from a peer > must match snapshot 1`] = `
[
  {
    lines: [ { dataCentre: 'west', event: 'evacuation.started', peer: undefined, silenceMs: 12, version: 1 } ],
    notices: 1,
    state: { dataCentres: [ 'west' ], version: 1 },
    step: 'reset at 1: west'
  },
  {
    lines: [
      { dataCentre: 'east', event: 'evacuation.started', peer: 'n2', silenceMs: undefined, version: 9 },
      { dataCentre: 'west', event: 'evacuation.ended', peer: 'n2', silenceMs: undefined, version: 9 }
    ],
    notices: 1,
    state: { dataCentres: [ 'east' ], version: 9 },
    step: 'from a peer at 9: east'
  },
  { lines: [], notices: 0, state: { dataCentres: [ 'east' ], version: 9 }, step: 'changes: +west@5 -east@6' },
  { lines: [], notices: 0, state: { dataCentres: [ 'east' ], version: 9 }, step: 'reset at 7: west' },
  {
    lines: [ { dataCentre: 'east', event: 'evacuation.ended', peer: undefined, silenceMs: undefined, version: 10 } ],
    notices: 1,
    state: { dataCentres: [], version: 10 },
    step: 'changes: -east@9 -east@10'
  },
  { lines: [], notices: 0, state: { dataCentres: [], version: 10 }, step: 'from a peer at 8: west' }
]
`

exports[`packages/control/dist/tests/evacuationHolder.test.js > TAP > several data centres > must match snapshot 1`] = `
[
  {
    lines: [ { dataCentre: 'west', event: 'evacuation.started', peer: undefined, silenceMs: 12, version: 1 } ],
    notices: 1,
    state: { dataCentres: [ 'west' ], version: 1 },
    step: 'reset at 1: west'
  },
  {
    lines: [
      { dataCentre: 'east', event: 'evacuation.started', peer: undefined, silenceMs: undefined, version: 5 },
      { dataCentre: 'west', event: 'evacuation.ended', peer: undefined, silenceMs: undefined, version: 5 }
    ],
    notices: 1,
    state: { dataCentres: [ 'east' ], version: 5 },
    step: 'changes: +east@2 -west@3 +west@4 -west@5'
  },
  { lines: [], notices: 0, state: { dataCentres: [ 'east' ], version: 6 }, step: 'changes: -unknown@6' }
]
`

exports[`packages/control/dist/tests/evacuationHolder.test.js > TAP > the first reset without evacuations > must match snapshot 1`] = `
[ { lines: [], notices: 1, state: { dataCentres: [], version: 1 }, step: 'reset at 1: ' } ]
`
