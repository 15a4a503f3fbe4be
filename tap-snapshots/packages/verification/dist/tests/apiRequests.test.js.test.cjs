/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > a service without a connected executor > must match snapshot 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'The request was refused before it was sent to an executor.',
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > cancellation 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > drain 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > job 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > job that is read 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > list of jobs 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > readiness 1`] = `
{
  body: { configVersion: 1, epoch: 1, holder: 'entry-1', ready: true },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > request 1`] = `
{
  body: {
    body: 'sketch-17',
    length: 9,
    requestId: 'r-ID',
    requestKey: 'request',
    sha256: '4013417669a85a2a1be22e17c83d37789a5a55b85a04c9204bb1dd28431c7eed'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > request that runs once 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > status 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls while the table is down > versions 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls whose answer from the table is lost > drain 1`] = `
{
  body: {
    code: 'storeUnclear',
    detail: "The platform's table did not confirm the write. Repeat the request with the same request key.",
    ran: 'unknown',
    retryAfterMs: 5000,
    status: 503,
    title: 'Outcome unclear',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls whose answer from the table is lost > drain again 1`] = `
{
  body: { configVersion: 2, vmId: 'worker-1' },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls whose answer from the table is lost > job 1`] = `
{
  body: {
    code: 'storeUnclear',
    detail: "The platform's table did not confirm the write. Repeat the request with the same request key.",
    ran: 'unknown',
    retryAfterMs: 5000,
    status: 503,
    title: 'Outcome unclear',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls whose answer from the table is lost > job again 1`] = `
{
  body: {
    attempt: { attemptId: 'j-ID', claimedAt: 'TIME', epoch: 1, members: [ { accelerators: 1, vmId: 'worker-3' } ] },
    attempts: 1,
    cancelRequested: false,
    failedOn: [],
    jobId: 'j-ID',
    spec: {
      checkpointable: false,
      declaredRunMs: 5000,
      gang: { acceleratorsPerVm: 1, adjacency: 'any', coresPerVm: 0, memoryMbPerVm: 0, vms: 1 },
      idempotent: true,
      payload: '{"runMs":5000}',
      requestKey: 'job',
      team: 'alpha',
      workClass: 'batch'
    },
    state: 'running',
    submittedAt: 'TIME'
  },
  headers: { 'content-type': 'application/json; charset=utf-8', location: '/v1/jobs/j-ID' },
  status: 202
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls whose answer from the table is lost > request that runs once 1`] = `
{
  body: {
    body: 'sketch-17',
    length: 9,
    requestId: 'r-ID',
    requestKey: 'once',
    sha256: '4013417669a85a2a1be22e17c83d37789a5a55b85a04c9204bb1dd28431c7eed'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > calls whose answer from the table is lost > request that runs once again 1`] = `
{
  body: {
    code: 'duplicateRequest',
    detail: 'A non-idempotent request with the key once was claimed before as r-ID.',
    ran: 'unknown',
    status: 409,
    title: 'Duplicate request',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 409
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors are slower than the deadline > idempotent 1`] = `
{
  body: {
    code: 'timeout',
    detail: 'An attempt failed or stayed without an answer, and there was no time or budget for another.',
    ran: 'unknown',
    retryAfterMs: 100,
    status: 504,
    title: 'Timeout',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '1' },
  status: 504
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors are slower than the deadline > once 1`] = `
{
  body: {
    code: 'timeout',
    detail: 'the request was aborted',
    ran: 'unknown',
    status: 504,
    title: 'Timeout',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 504
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors fail > idempotent 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'An attempt failed or stayed without an answer, and there was no time or budget for another.',
    ran: 'unknown',
    retryAfterMs: 5000,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors fail > once 1`] = `
{
  body: {
    code: 'executorFailed',
    detail: 'the executor failed',
    ran: 'unknown',
    status: 502,
    title: 'Executor failed',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 502
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors leave > idempotent 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'The request was refused before it was sent to an executor.',
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors leave > once 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'The request was refused before it was sent to an executor.',
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors refuse > idempotent 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'No executor could run the request in time.',
    ran: 'no',
    retryAfterMs: 100,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '1' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while executors refuse > once 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'No executor could run the request in time.',
    ran: 'no',
    retryAfterMs: 100,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '1' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while no executor is left > idempotent 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'The request was refused before it was sent to an executor.',
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while no executor is left > once 1`] = `
{
  body: {
    code: 'overloaded',
    detail: 'The request was refused before it was sent to an executor.',
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Overloaded',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while nothing is wrong > idempotent 1`] = `
{
  body: {
    body: 'sketch-17',
    length: 9,
    requestId: 'r-ID',
    requestKey: 'key',
    sha256: '4013417669a85a2a1be22e17c83d37789a5a55b85a04c9204bb1dd28431c7eed'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while nothing is wrong > once 1`] = `
{
  body: {
    body: 'sketch-17',
    length: 9,
    requestId: 'r-ID',
    requestKey: 'key',
    sha256: '4013417669a85a2a1be22e17c83d37789a5a55b85a04c9204bb1dd28431c7eed'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while the deadline is too short > idempotent 1`] = `
{
  body: {
    code: 'timeout',
    detail: 'An attempt failed or stayed without an answer, and there was no time or budget for another.',
    ran: 'unknown',
    retryAfterMs: 100,
    status: 504,
    title: 'Timeout',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '1' },
  status: 504
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while the deadline is too short > once 1`] = `
{
  body: {
    code: 'timeout',
    detail: 'the request was aborted',
    ran: 'unknown',
    status: 504,
    title: 'Timeout',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 504
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while the table is down > idempotent 1`] = `
{
  body: {
    body: 'sketch-17',
    length: 9,
    requestId: 'r-ID',
    requestKey: 'key',
    sha256: '4013417669a85a2a1be22e17c83d37789a5a55b85a04c9204bb1dd28431c7eed'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > direct requests while the table is down > once 1`] = `
{
  body: {
    code: 'storeUnavailable',
    detail: "The platform's table cannot be reached, so the request could not be made durable.",
    ran: 'no',
    retryAfterMs: 5000,
    status: 503,
    title: 'Store unavailable',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > the executor's answer is a duplicate > must match snapshot 1`] = `
{
  body: {
    code: 'executorFailed',
    detail: 'The agent refused: duplicate.',
    ran: 'unknown',
    status: 502,
    title: 'Executor failed',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 502
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > the executor's answer is altered > must match snapshot 1`] = `
{
  body: {
    code: 'executorFailed',
    detail: 'The answer is damaged or belongs to another request.',
    ran: 'yes',
    status: 502,
    title: 'Executor failed',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 502
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > the executor's answer is another request's > must match snapshot 1`] = `
{
  body: {
    code: 'executorFailed',
    detail: 'The answer is damaged or belongs to another request.',
    ran: 'yes',
    status: 502,
    title: 'Executor failed',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 502
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > the executor's answer is cut > must match snapshot 1`] = `
{
  body: {
    code: 'executorFailed',
    detail: 'The answer is damaged or belongs to another request.',
    ran: 'yes',
    status: 502,
    title: 'Executor failed',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 502
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > the executor's answer is late > must match snapshot 1`] = `
{
  body: {
    code: 'timeout',
    detail: 'No answer to request.run within 5500 ms.',
    ran: 'unknown',
    status: 504,
    title: 'Timeout',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 504
}
`

exports[`packages/verification/dist/tests/apiRequests.test.js > TAP > the executor's answer is whole > must match snapshot 1`] = `
{
  body: {
    body: 'whole',
    length: 5,
    requestId: 'r-ID',
    requestKey: 'key',
    sha256: '5d5766cf2d78701614200418ee1450690d9af12c84d52545e4802f001ad53099'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`
