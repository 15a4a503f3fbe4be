/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/tests/deployment.test.js > TAP > a peer becomes unreachable while the store refuses the controller > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5713 a.0.1.0#1 on x1: done 7713
  5713 a.0.1.1#1 on x1: done 7713
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > a run ends before its unresponsive executor refuses its repeated start > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > a VM is partitioned for 15000 ms > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
 12441 a.0.0.0#2 on x2: done 14441
 14448 a.0.1.0#1 on x2: done 16448
 14448 a.0.1.1#1 on x2: done 16448
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > a VM is partitioned for 5000 ms > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  9608 a.0.1.0#1 on x1: done 11608
  9608 a.0.1.1#1 on x1: done 11608
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > all processes restart > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5091 a.0.1.0#1 on x1: done 7091
  5091 a.0.1.1#1 on x1: done 7091
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an agent restarts > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an entry starts while the store is down > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  7079 a.0.1.0#1 on x1: done 9079
  7079 a.0.1.1#1 on x1: done 9079
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an executor crashes and does not restart > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: crashed 4000
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
 12408 a.0.0.0#2 on x2: done 14408
 14415 a.0.1.0#1 on x2: done 16415
 14415 a.0.1.1#1 on x2: done 16415
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an executor crashes and restarts > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: crashed 4000
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  4307 a.0.0.0#2 on x2: done 6307
  6314 a.0.1.0#1 on x1: done 8314
  6314 a.0.1.1#1 on x1: done 8314
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an executor drains and leaves > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x2: done 7013
  5013 a.0.1.1#1 on x2: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an executor restarts at once under the same id > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: crashed 4000
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  4007 a.0.0.0#2 on x1: done 6007
  6014 a.0.1.0#1 on x1: done 8014
  6014 a.0.1.1#1 on x1: done 8014
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > commits take effect late > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > no fault > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > orders are executed late > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5413 a.0.1.1#1 on x1: done 7413
  5813 a.0.1.0#1 on x1: done 7813
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > store responses are lost > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller crashes > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller is released > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller's machine is paused for 4 s > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5931 a.0.1.0#1 on x1: done 7931
  5931 a.0.1.1#1 on x1: done 7931
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller's process is paused for 4 s > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5931 a.0.1.0#1 on x1: done 7931
  5931 a.0.1.1#1 on x1: done 7931
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller's VM becomes unreachable > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5931 a.0.1.0#1 on x1: done 7931
  5931 a.0.1.1#1 on x1: done 7931
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the store drops its history > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7013
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the store is down for 5 s > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  9017 a.0.1.0#1 on x1: done 11017
  9017 a.0.1.1#1 on x1: done 11017
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the store refuses the controller > must match snapshot 1`] = `
  3006 f.0.0.0#1 on x1: failed 3506
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x2: done 5006
  3513 f.0.0.0#2 on x2: failed 4013
  5015 a.0.1.0#1 on x1: done 7015
  5015 a.0.1.1#1 on x1: done 7015
`
