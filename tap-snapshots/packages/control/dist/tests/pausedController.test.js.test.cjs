/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/tests/pausedController.test.js > TAP > answer delayed by 15000 ms after a claim, partitioned > must match snapshot 1`] = `
  5431 a.0.0.2#2 on x2: done 8431
  5431 a.0.0.3#2 on x2: done 8431
 18893 a.0.0.0#2 on x2: done 21893
 18893 a.0.0.1#2 on x2: done 21893
`

exports[`packages/control/dist/tests/pausedController.test.js > TAP > answer delayed by 4000 ms after a claim, partitioned > must match snapshot 1`] = `
  5431 a.0.0.2#2 on x2: done 8431
  5431 a.0.0.3#2 on x2: done 8431
 18893 a.0.0.0#2 on x2: done 21893
 18893 a.0.0.1#2 on x2: done 21893
`

exports[`packages/control/dist/tests/pausedController.test.js > TAP > machine delayed by 15000 ms after a claim, partitioned > must match snapshot 1`] = `
  4931 a.0.0.2#2 on x2: done 7931
  4931 a.0.0.3#2 on x2: done 7931
 18393 a.0.0.0#2 on x2: done 21393
 18393 a.0.0.1#2 on x2: done 21393
`

exports[`packages/control/dist/tests/pausedController.test.js > TAP > machine delayed by 2800 ms after a claim > must match snapshot 1`] = `
  4931 a.0.0.2#2 on x2: done 7931
  4931 a.0.0.3#2 on x2: done 7931
 18393 a.0.0.0#2 on x2: done 21393
 18393 a.0.0.1#2 on x2: done 21393
`

exports[`packages/control/dist/tests/pausedController.test.js > TAP > machine delayed by 4000 ms after a claim, partitioned > must match snapshot 1`] = `
  4931 a.0.0.2#2 on x2: done 7931
  4931 a.0.0.3#2 on x2: done 7931
 18393 a.0.0.0#2 on x2: done 21393
 18393 a.0.0.1#2 on x2: done 21393
`

exports[`packages/control/dist/tests/pausedController.test.js > TAP > process delayed by 15000 ms after a claim, partitioned > must match snapshot 1`] = `
  4931 a.0.0.2#2 on x2: done 7931
  4931 a.0.0.3#2 on x2: done 7931
 18393 a.0.0.0#2 on x2: done 21393
 18393 a.0.0.1#2 on x2: done 21393
`

exports[`packages/control/dist/tests/pausedController.test.js > TAP > process delayed by 2800 ms after a claim > must match snapshot 1`] = `
  4931 a.0.0.2#2 on x2: done 7931
  4931 a.0.0.3#2 on x2: done 7931
 18393 a.0.0.0#2 on x2: done 21393
 18393 a.0.0.1#2 on x2: done 21393
`

exports[`packages/control/dist/tests/pausedController.test.js > TAP > process delayed by 4000 ms after a claim, partitioned > must match snapshot 1`] = `
  4931 a.0.0.2#2 on x2: done 7931
  4931 a.0.0.3#2 on x2: done 7931
 18393 a.0.0.0#2 on x2: done 21393
 18393 a.0.0.1#2 on x2: done 21393
`
