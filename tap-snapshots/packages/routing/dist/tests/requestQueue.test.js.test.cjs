/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/routing/dist/tests/requestQueue.test.js > TAP > an idle team saves up no credit > must match snapshot 1`] = `
Array [
  "idle0",
  "busy10",
  "idle1",
  "busy11",
  "idle2",
  "busy12",
  "busy13",
  "busy14",
]
`

exports[`packages/routing/dist/tests/requestQueue.test.js > TAP > lower classes keep their minimum share > must match snapshot 1`] = `
Array [
  "quick0",
  "quick1",
  "quick2",
  "quick3",
  "quick4",
  "glaze0",
  "quick5",
  "quick6",
  "quick7",
  "quick8",
  "quick9",
  "glaze1",
  "glaze2",
  "glaze3",
  "glaze4",
  "glaze5",
  "glaze6",
  "glaze7",
  "glaze8",
  "glaze9",
]
`

exports[`packages/routing/dist/tests/requestQueue.test.js > TAP > teams take turns by weight > must match snapshot 1`] = `
Array [
  "large0",
  "heavy4",
  "small7",
  "heavy5",
  "large1",
  "heavy6",
  "large2",
  "large3",
]
`
