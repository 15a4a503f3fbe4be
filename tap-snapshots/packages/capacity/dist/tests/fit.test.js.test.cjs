/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/capacity/dist/tests/fit.test.js > TAP > lines through points > a line without noise 1`] = `
Object {
  "intercept": 3,
  "points": 3,
  "residual": 0,
  "slope": 2,
}
`

exports[`packages/capacity/dist/tests/fit.test.js > TAP > lines through points > falling 1`] = `
Object {
  "intercept": 40,
  "points": 2,
  "residual": 0,
  "slope": -2,
}
`

exports[`packages/capacity/dist/tests/fit.test.js > TAP > lines through points > noise on both sides 1`] = `
Object {
  "intercept": 0.40000000000000036,
  "points": 4,
  "residual": 1.341641,
  "slope": 1.4,
}
`

exports[`packages/capacity/dist/tests/fit.test.js > TAP > lines through points > one point 1`] = `
Object {
  "intercept": 14000,
  "points": 1,
  "residual": 0,
  "slope": 0,
}
`

exports[`packages/capacity/dist/tests/fit.test.js > TAP > lines through points > one size only 1`] = `
Object {
  "intercept": 6,
  "points": 2,
  "residual": 2,
  "slope": 0,
}
`
