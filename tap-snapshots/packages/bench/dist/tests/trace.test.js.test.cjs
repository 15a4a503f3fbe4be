/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/dist/tests/trace.test.js > TAP > a seed always gives the same numbers > must match snapshot 1`] = `
Array [
  0.011704753153026104,
  0.639608294464467,
  4.213661851610542,
  "b",
]
`

exports[`packages/bench/dist/tests/trace.test.js > TAP > the render traces differ only in batches and previews > must match snapshot 1`] = `
Object {
  "batch": 12,
  "bestEffort": 239,
  "interactive": 915,
}
`

exports[`packages/bench/dist/tests/trace.test.js > TAP > the trace of cooperative is valid and depends on nothing but its options > must match snapshot 1`] = `
Object {
  "cancelled": 82,
  "classes": Object {
    "batch": 11,
    "bestEffort": 161,
    "interactive": 1811,
    "standard": 173,
    "urgent": 21,
  },
  "digest": "2cc747e5174842fad2daa0a24a9d8c634b9a51b925492a4fed1df8be2f6e53c6",
  "failsAlways": 13,
  "faults": Object {
    "storeDown": 1,
    "storeUp": 1,
    "vmsBack": 2,
    "vmsLost": 2,
    "workerFailing": 1,
    "workerRepaired": 1,
  },
  "tooLarge": 0,
}
`

exports[`packages/bench/dist/tests/trace.test.js > TAP > the trace of lentesud is valid and depends on nothing but its options > must match snapshot 1`] = `
Object {
  "cancelled": 43,
  "classes": Object {
    "batch": 6,
    "bestEffort": 92,
    "interactive": 725,
    "standard": 254,
    "urgent": 21,
  },
  "digest": "f2269c5dc8a8e48b73dda47f51dca34c055a8e56aaa133390dacd510d8195e25",
  "failsAlways": 8,
  "faults": Object {
    "storeDown": 1,
    "storeUp": 1,
    "vmsBack": 2,
    "vmsLost": 2,
    "workerFailing": 1,
    "workerRepaired": 1,
  },
  "tooLarge": 0,
}
`

exports[`packages/bench/dist/tests/trace.test.js > TAP > the trace of plan is valid and depends on nothing but its options > must match snapshot 1`] = `
Object {
  "cancelled": 1,
  "classes": Object {
    "batch": 166,
    "bestEffort": 5,
    "interactive": 5,
    "standard": 8,
    "urgent": 497,
  },
  "digest": "693c9eefb026b661ab1cd999efe1025ec4ac9a7e909e4ebe47a18a90ab39bf27",
  "failsAlways": 1,
  "faults": Object {
    "storeDown": 1,
    "storeUp": 1,
    "vmsBack": 2,
    "vmsLost": 2,
    "workerFailing": 1,
    "workerRepaired": 1,
  },
  "tooLarge": 1,
}
`
