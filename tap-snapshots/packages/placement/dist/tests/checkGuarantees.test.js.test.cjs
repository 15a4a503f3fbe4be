/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/placement/dist/tests/checkGuarantees.test.js > TAP > instances that the inventory cannot hold > must match snapshot 1`] = `
a refusal of what fits exactly: all bound
small shapes that take the place of nested large ones: all bound
more promised than there is: unmet weavers/8
a rack that is too small: unmet weavers/0
cells outside the data centres that the team wants: unmet weavers/4
cores that are promised twice: unmet weavers/8
`
