/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/gateway/dist/tests/jobAccess.test.js > TAP > a job submitted to /batches/a with weavers > must match snapshot 1`] = `
/batches/a with weavers: POST ok, GET queued, DELETE ok: cancelled
/batches/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/renders/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/renders/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/guests/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/guests/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/guests/a with no key: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/visitors/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/visitors/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/visitors/a with no key: POST idInUse, GET unknownJob, DELETE unknownJob: kept
`

exports[`packages/gateway/dist/tests/jobAccess.test.js > TAP > a job submitted to /guests/a with no key > must match snapshot 1`] = `
/batches/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/renders/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/renders/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/guests/a with weavers: POST ok, GET queued, DELETE ok: cancelled
/guests/a with potters: POST ok, GET queued, DELETE ok: cancelled
/guests/a with no key: POST ok, GET queued, DELETE ok: cancelled
/batches/visitors/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/visitors/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/visitors/a with no key: POST idInUse, GET unknownJob, DELETE unknownJob: kept
`

exports[`packages/gateway/dist/tests/jobAccess.test.js > TAP > a job submitted to /guests/a with weavers > must match snapshot 1`] = `
/batches/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/renders/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/renders/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/guests/a with weavers: POST ok, GET queued, DELETE ok: cancelled
/guests/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/guests/a with no key: POST ok, GET queued, DELETE ok: cancelled
/batches/visitors/a with weavers: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/visitors/a with potters: POST idInUse, GET unknownJob, DELETE unknownJob: kept
/batches/visitors/a with no key: POST idInUse, GET unknownJob, DELETE unknownJob: kept
`
