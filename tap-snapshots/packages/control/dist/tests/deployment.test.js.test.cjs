/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/control/dist/tests/deployment.test.js > TAP > a peer vanishes while the store refuses the controller > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  5713 f.0.0.0#2 on x1: failed 6213
  5713 a.0.1.0#1 on x1: done 7713
  5713 a.0.1.1#1 on x2: done 7713
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > a VM is cut off for 15000 ms > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  5556 f.0.0.0#2 on x2: failed 6056
 12546 a.0.0.0#2 on x2: done 14546
 12546 a.0.0.1#2 on x2: done 14548
 14553 a.0.1.0#1 on x2: done 16553
 14553 a.0.1.1#1 on x2: done 16555
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > a VM is cut off for 5000 ms > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  5556 f.0.0.0#2 on x2: failed 6056
  9608 a.0.1.0#1 on x1: done 11608
  9608 a.0.1.1#1 on x1: done 11610
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an agent restarts > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5008
  3006 f.0.0.0#1 on x2: failed 3506
  4006 f.0.0.0#2 on x2: failed 4506
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7015
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an entry starts while the store is down > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  7048 f.0.0.0#2 on x1: failed 7548
  7048 a.0.1.0#1 on x1: done 9048
  7048 a.0.1.1#1 on x2: done 9048
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an executor crashes and restarts > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: crashed 4000
  3006 a.0.0.1#1 on x1: crashed 4000
  3006 f.0.0.0#1 on x2: failed 3506
  4007 a.0.0.0#2 on x2: done 6007
  4007 a.0.0.1#2 on x2: done 6009
  4307 f.0.0.0#2 on x1: failed 4807
  6014 a.0.1.0#1 on x1: done 8014
  6014 a.0.1.1#1 on x1: done 8016
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an executor drains and leaves > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5008
  3006 f.0.0.0#1 on x2: failed 3506
  4007 f.0.0.0#2 on x2: failed 4507
  5013 a.0.1.0#1 on x2: done 7013
  5013 a.0.1.1#1 on x2: done 7015
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > an executor is gone for good > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: crashed 4000
  3006 a.0.0.1#1 on x1: crashed 4000
  3006 f.0.0.0#1 on x2: failed 3506
  4007 a.0.0.0#2 on x2: done 6007
  4007 a.0.0.1#2 on x2: done 6009
  6014 a.0.1.0#1 on x2: done 8014
  6014 a.0.1.1#1 on x2: done 8016
  8018 f.0.0.0#2 on x2: failed 8518
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > answers of the store are lost > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  5318 f.0.0.0#2 on x1: failed 5818
  5318 a.0.1.0#1 on x1: done 7318
  5318 a.0.1.1#1 on x2: done 7318
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > commits take effect late > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  5318 f.0.0.0#2 on x1: failed 5818
  5318 a.0.1.0#1 on x1: done 7318
  5318 a.0.1.1#1 on x2: done 7318
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > everything stops and starts again > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5041
  3006 a.0.0.1#1 on x1: done 5041
  3006 f.0.0.0#1 on x2: failed 3506
  5046 a.0.1.0#1 on x1: done 7046
  5046 a.0.1.1#1 on x1: done 7048
  5046 f.0.0.0#2 on x2: failed 5546
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > no fault > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5008
  3006 f.0.0.0#1 on x2: failed 3506
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7015
  7017 f.0.0.0#2 on x1: failed 7517
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > orders are carried out late > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5008
  3006 f.0.0.0#1 on x2: failed 3506
  5413 a.0.1.1#1 on x1: done 7413
  5813 a.0.1.0#1 on x1: done 7813
  7420 f.0.0.0#2 on x1: failed 7920
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller is released > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5008
  3006 f.0.0.0#1 on x2: failed 3506
  4046 f.0.0.0#2 on x2: failed 4546
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7015
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller stops without notice > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5008
  3006 f.0.0.0#1 on x2: failed 3506
  4017 f.0.0.0#2 on x2: failed 4517
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7015
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the controller's VM vanishes > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  5886 a.0.1.0#1 on x1: done 7886
  5886 a.0.1.1#1 on x1: done 7888
  5886 f.0.0.0#2 on x2: failed 6386
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the store drops its history > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5008
  3006 f.0.0.0#1 on x2: failed 3506
  5013 a.0.1.0#1 on x1: done 7013
  5013 a.0.1.1#1 on x1: done 7015
  7017 f.0.0.0#2 on x1: failed 7517
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the store is down for 5 s > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5206
  3006 f.0.0.0#1 on x2: failed 3506
  9088 f.0.0.0#2 on x1: failed 9588
  9088 a.0.1.0#1 on x1: done 11088
  9088 a.0.1.1#1 on x2: done 11088
`

exports[`packages/control/dist/tests/deployment.test.js > TAP > the store refuses the controller > must match snapshot 1`] = `
  3006 a.0.0.0#1 on x1: done 5006
  3006 a.0.0.1#1 on x1: done 5010
  3006 f.0.0.0#1 on x2: failed 3506
  5016 a.0.1.0#1 on x1: done 7016
  5016 a.0.1.1#1 on x1: done 7020
  7023 f.0.0.0#2 on x1: failed 7523
`
