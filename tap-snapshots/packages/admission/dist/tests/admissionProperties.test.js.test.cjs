/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/admission/dist/tests/admissionProperties.test.js > TAP > generated views lead to refusals for each reason and to acceptances > must match snapshot 1`] = `
[
  'accept exceedsExecutors',
  'accept fits',
  'accept guaranteed',
  'accept lessValuableWaits',
  'accept noAccelerators',
  'accept noDeadline',
  'accept unknownRunTime',
  'accept unknownService',
  'accept useful',
  'refuse tooLate'
]
`
