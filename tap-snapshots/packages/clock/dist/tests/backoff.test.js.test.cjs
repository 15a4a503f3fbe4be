/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/clock/dist/tests/backoff.test.js > TAP > the delay doubles up to its bound and is spread below it > must match snapshot 1`] = `
Array [
  Array [
    0,
    100,
    199.8,
  ],
  Array [
    0,
    200,
    399.6,
  ],
  Array [
    0,
    400,
    799.2,
  ],
  Array [
    0,
    800,
    1598.4,
  ],
  Array [
    0,
    5000,
    9990,
  ],
  Array [
    0,
    5000,
    9990,
  ],
]
`
