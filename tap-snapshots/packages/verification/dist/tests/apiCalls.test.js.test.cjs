/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > a full queue > entry-1 1`] = `
{
  body: {
    code: 'queueFull',
    detail: 'The team has 1 jobs waiting, which is its limit.',
    ran: 'no',
    retryAfterMs: 5000,
    status: 429,
    title: 'Queue full',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 429
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > a full queue > entry-2 1`] = `
{
  body: {
    code: 'queueFull',
    detail: 'The team has 1 jobs waiting, which is its limit.',
    ran: 'no',
    retryAfterMs: 5000,
    status: 429,
    title: 'Queue full',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '5' },
  status: 429
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /healthz while it shuts down 1`] = `
{ body: { status: 'alive' }, headers: { 'content-type': 'application/json; charset=utf-8' }, status: 200 }
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /healthz without a configuration 1`] = `
{ body: { status: 'alive' }, headers: { 'content-type': 'application/json; charset=utf-8' }, status: 200 }
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /readyz while it shuts down 1`] = `
{
  body: { configVersion: 1, epoch: 1, holder: 'entry-1', ready: false },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /readyz without a configuration 1`] = `
{
  body: { configVersion: 0, epoch: 2, holder: 'entry-2', ready: false },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /v1/admin/config while it shuts down 1`] = `
{
  body: {
    body: {
      drained: [],
      guarantees: [
        {
          count: 1,
          name: 'gang',
          shape: { acceleratorsPerVm: 8, adjacency: 'rack', coresPerVm: 0, memoryMbPerVm: 0, vms: 2 },
          team: 'alpha'
        }
      ],
      operators: [ { id: 'operator', tokenSha256: 'af5bfcc34d20234ae0bc05473d87a67a477d51ce8ecac77a4fb895b9be222ede' } ],
      rules: {
        completionWeight: 0.5,
        connectionsPerExecutor: 64,
        fragmentationWeight: 0.5,
        preemptionGraceMs: 2000,
        queueLengthPerTeam: 1000,
        slotsPerExecutor: 8
      },
      teams: [
        {
          id: 'alpha',
          tokenSha256: 'e16a717c1e4269239bda47d51630758b8ab40867b6d3a2e5f1a23f8e5bb0a8e1',
          weight: 1
        },
        {
          id: 'beta',
          tokenSha256: '38461323b18af64e0faee0530ed620b4d21760fd624227b7456c2e38be2c1e51',
          weight: 1
        }
      ],
      vms: [
        {
          accelerators: 8,
          cores: 32,
          dataCentre: 'east',
          id: 'worker-1',
          kind: 'worker',
          memoryMb: 65536,
          rack: 'rack-1'
        },
        {
          accelerators: 8,
          cores: 32,
          dataCentre: 'east',
          id: 'worker-2',
          kind: 'worker',
          memoryMb: 65536,
          rack: 'rack-1'
        },
        {
          accelerators: 8,
          cores: 32,
          dataCentre: 'east',
          id: 'worker-3',
          kind: 'worker',
          memoryMb: 65536,
          rack: 'rack-1'
        },
        {
          accelerators: 8,
          cores: 32,
          dataCentre: 'west',
          id: 'worker-4',
          kind: 'worker',
          memoryMb: 65536,
          rack: 'rack-2'
        },
        {
          accelerators: 8,
          cores: 32,
          dataCentre: 'west',
          id: 'worker-5',
          kind: 'worker',
          memoryMb: 65536,
          rack: 'rack-2'
        },
        {
          accelerators: 8,
          cores: 32,
          dataCentre: 'west',
          id: 'worker-6',
          kind: 'worker',
          memoryMb: 65536,
          rack: 'rack-2'
        },
        {
          accelerators: 0,
          cores: 8,
          dataCentre: 'east',
          id: 'executor-1',
          kind: 'executor',
          memoryMb: 16384,
          rack: 'rack-1',
          service: 'sorting'
        },
        {
          accelerators: 0,
          cores: 8,
          dataCentre: 'west',
          id: 'executor-2',
          kind: 'executor',
          memoryMb: 16384,
          rack: 'rack-2',
          service: 'sorting'
        }
      ]
    },
    loadedAt: 'TIME',
    loadedBy: 'operator',
    version: 1
  },
  headers: { 'content-type': 'application/json; charset=utf-8', etag: '"1"' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /v1/admin/config without a configuration 1`] = `
{
  body: {
    code: 'unauthenticated',
    detail: 'The bearer token is missing or unknown.',
    ran: 'no',
    status: 401,
    title: 'Unauthenticated',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'www-authenticate': 'Bearer' },
  status: 401
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /v1/jobs while it shuts down 1`] = `
{ body: { jobs: [] }, headers: { 'content-type': 'application/json; charset=utf-8' }, status: 200 }
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > GET /v1/jobs without a configuration 1`] = `
{
  body: {
    code: 'noConfiguration',
    detail: 'This process has no configuration yet and cannot check the request.',
    ran: 'no',
    retryAfterMs: 1000,
    status: 503,
    title: 'No configuration',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '1' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > POST /v1/jobs while it shuts down 1`] = `
{
  body: {
    code: 'shuttingDown',
    detail: 'This process takes no new requests.',
    ran: 'no',
    retryAfterMs: 1000,
    status: 503,
    title: 'Shutting down',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '1' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > an entry without a configuration, and one that shuts down > POST /v1/jobs without a configuration 1`] = `
{
  body: {
    code: 'noConfiguration',
    detail: 'This process has no configuration yet and cannot check the request.',
    ran: 'no',
    retryAfterMs: 1000,
    status: 503,
    title: 'No configuration',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'retry-after': '1' },
  status: 503
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > /v1/admin/teams/alpha/history 1`] = `
{ exportedAt: 'TIME', jobs: 3, pages: 1, records: 10, requests: 1, sha256: 'DIGEST', team: 'alpha' }
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > /v1/history 1`] = `
{ exportedAt: 'TIME', jobs: 3, pages: 1, records: 10, requests: 1, sha256: 'DIGEST', team: 'alpha' }
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > cancel after the end 1`] = `
{
  body: {
    job: {
      attempt: { attemptId: 'j-ID', claimedAt: 'TIME', epoch: 1, members: [ { accelerators: 1, vmId: 'worker-3' } ] },
      attempts: 1,
      cancelRequested: false,
      failedOn: [],
      jobId: 'j-ID',
      outcome: { at: 'TIME', code: 'finished', detail: '', ran: 'yes', result: '' },
      spec: {
        checkpointable: false,
        declaredRunMs: 5000,
        gang: { acceleratorsPerVm: 1, adjacency: 'any', coresPerVm: 0, memoryMbPerVm: 0, vms: 1 },
        idempotent: true,
        payload: '{"runMs":5000}',
        requestKey: 'ends',
        team: 'alpha',
        workClass: 'batch'
      },
      state: 'finished',
      submittedAt: 'TIME'
    },
    result: 'alreadyEnded'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > cancel by the operator 1`] = `
{
  body: {
    job: {
      attempt: { attemptId: 'j-ID', claimedAt: 'TIME', epoch: 1, members: [ { accelerators: 1, vmId: 'worker-3' } ] },
      attempts: 1,
      cancelRequested: false,
      failedOn: [],
      jobId: 'j-ID',
      outcome: { at: 'TIME', code: 'finished', detail: '', ran: 'yes', result: '' },
      spec: {
        checkpointable: false,
        declaredRunMs: 5000,
        gang: { acceleratorsPerVm: 1, adjacency: 'any', coresPerVm: 0, memoryMbPerVm: 0, vms: 1 },
        idempotent: true,
        payload: '{"runMs":5000}',
        requestKey: 'ends',
        team: 'alpha',
        workClass: 'batch'
      },
      state: 'finished',
      submittedAt: 'TIME'
    },
    result: 'alreadyEnded'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > cancel while it runs 1`] = `
{
  body: {
    job: {
      attempt: { attemptId: 'j-ID', claimedAt: 'TIME', epoch: 1, members: [ { accelerators: 1, vmId: 'worker-3' } ] },
      attempts: 1,
      cancelRequested: true,
      failedOn: [],
      jobId: 'j-ID',
      spec: {
        checkpointable: false,
        declaredRunMs: 5000,
        gang: { acceleratorsPerVm: 1, adjacency: 'any', coresPerVm: 0, memoryMbPerVm: 0, vms: 1 },
        idempotent: true,
        payload: '{"runMs":1000000}',
        requestKey: 'stops',
        team: 'alpha',
        workClass: 'batch'
      },
      state: 'running',
      submittedAt: 'TIME'
    },
    result: 'stopping'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > job that can never fit 1`] = `
{
  body: {
    attempts: 0,
    cancelRequested: false,
    failedOn: [],
    jobId: 'j-ID',
    outcome: {
      at: 'TIME',
      code: 'neverFits',
      detail: 'The inventory has no VMs (count 7, adjacency any) with 8 accelerators, 0 cores and 0 MB each.',
      ran: 'no'
    },
    spec: {
      checkpointable: false,
      declaredRunMs: 5000,
      gang: { acceleratorsPerVm: 8, adjacency: 'any', coresPerVm: 0, memoryMbPerVm: 0, vms: 7 },
      idempotent: true,
      payload: '{"runMs":5000}',
      requestKey: 'never',
      team: 'alpha',
      workClass: 'batch'
    },
    state: 'refused',
    submittedAt: 'TIME'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > wait for the cancelled job 1`] = `
{
  body: {
    attempt: { attemptId: 'j-ID', claimedAt: 'TIME', epoch: 1, members: [ { accelerators: 1, vmId: 'worker-3' } ] },
    attempts: 1,
    cancelRequested: true,
    failedOn: [],
    jobId: 'j-ID',
    outcome: { at: 'TIME', code: 'cancelled', detail: 'Cancelled while running.', ran: 'yes' },
    spec: {
      checkpointable: false,
      declaredRunMs: 5000,
      gang: { acceleratorsPerVm: 1, adjacency: 'any', coresPerVm: 0, memoryMbPerVm: 0, vms: 1 },
      idempotent: true,
      payload: '{"runMs":1000000}',
      requestKey: 'stops',
      team: 'alpha',
      workClass: 'batch'
    },
    state: 'cancelled',
    submittedAt: 'TIME'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > wait for the end 1`] = `
{
  body: {
    attempt: { attemptId: 'j-ID', claimedAt: 'TIME', epoch: 1, members: [ { accelerators: 1, vmId: 'worker-3' } ] },
    attempts: 1,
    cancelRequested: false,
    failedOn: [],
    jobId: 'j-ID',
    outcome: { at: 'TIME', code: 'finished', detail: '', ran: 'yes', result: '' },
    spec: {
      checkpointable: false,
      declaredRunMs: 5000,
      gang: { acceleratorsPerVm: 1, adjacency: 'any', coresPerVm: 0, memoryMbPerVm: 0, vms: 1 },
      idempotent: true,
      payload: '{"runMs":5000}',
      requestKey: 'ends',
      team: 'alpha',
      workClass: 'batch'
    },
    state: 'finished',
    submittedAt: 'TIME'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > cancel, wait and history > wait that ends before the job 1`] = `
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
      payload: '{"runMs":1000000}',
      requestKey: 'stops',
      team: 'alpha',
      workClass: 'batch'
    },
    state: 'running',
    submittedAt: 'TIME'
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > cancellation with an empty JSON body 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: "Body cannot be empty when content-type is set to 'application/json'",
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > configuration that promises more than there is 1`] = `
{
  body: {
    code: 'invalidConfiguration',
    detail: 'The configuration has 5 findings.',
    findings: [
      {
        message: 'The guarantee "gamma/none" is given to the team "gamma", which is not listed.',
        messageId: 'unknownTeam',
        place: { path: 'guarantees[1]' }
      },
      {
        message: 'The guarantee "gamma/none" needs 1 VMs (9 accelerators, 0 cores and 0 MB each) with the adjacency "any", but at most 0 fit.',
        messageId: 'shapeNeverFits',
        place: { path: 'guarantees[1]' }
      },
      {
        message: 'The guarantees promise 73 accelerators, but there are 48.',
        messageId: 'guaranteesExceedTotal',
        place: {}
      },
      {
        message: 'The instance 2 of the guarantee "alpha/gang" does not fit beside the other guarantees.',
        messageId: 'guaranteeUnbound',
        place: { path: 'guarantees[0]' }
      },
      {
        message: 'The instance 3 of the guarantee "alpha/gang" does not fit beside the other guarantees.',
        messageId: 'guaranteeUnbound',
        place: { path: 'guarantees[0]' }
      }
    ],
    ran: 'no',
    status: 422,
    title: 'Invalid configuration',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 422
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > configuration with a weak version 1`] = `
{
  body: {
    code: 'versionRequired',
    detail: 'Name the version that was read in an If-Match header.',
    ran: 'no',
    status: 428,
    title: 'Version required',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 428
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > configuration with every part wrong 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      {
        message: 'Invalid string: must match pattern /^[A-Za-z0-9][A-Za-z0-9._-]*$/',
        messageId: 'invalid_format',
        place: { path: 'vms.0.id' }
      },
      {
        message: 'Invalid input: expected string, received undefined',
        messageId: 'invalid_type',
        place: { path: 'vms.0.rack' }
      },
      {
        message: 'Invalid input: expected string, received undefined',
        messageId: 'invalid_type',
        place: { path: 'vms.0.dataCentre' }
      },
      {
        message: 'Invalid option: expected one of "worker"|"executor"',
        messageId: 'invalid_value',
        place: { path: 'vms.0.kind' }
      },
      {
        message: 'Invalid input: expected number, received undefined',
        messageId: 'invalid_type',
        place: { path: 'vms.0.cores' }
      },
      {
        message: 'Invalid input: expected number, received undefined',
        messageId: 'invalid_type',
        place: { path: 'vms.0.memoryMb' }
      },
      {
        message: 'Invalid input: expected number, received undefined',
        messageId: 'invalid_type',
        place: { path: 'vms.0.accelerators' }
      },
      {
        message: 'Invalid input: expected array, received object',
        messageId: 'invalid_type',
        place: { path: 'teams' }
      },
      {
        message: 'Invalid input: expected array, received undefined',
        messageId: 'invalid_type',
        place: { path: 'operators' }
      },
      {
        message: 'Too small: expected number to be >0',
        messageId: 'too_small',
        place: { path: 'guarantees.0.count' }
      },
      {
        message: 'Too big: expected number to be <=2500',
        messageId: 'too_big',
        place: { path: 'rules.preemptionGraceMs' }
      }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > configuration without a version 1`] = `
{
  body: {
    code: 'versionRequired',
    detail: 'Name the version that was read in an If-Match header.',
    ran: 'no',
    status: 428,
    title: 'Version required',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 428
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > drain of a VM that is none 1`] = `
{
  body: {
    code: 'notFound',
    detail: 'There is no VM worker-99.',
    ran: 'no',
    status: 404,
    title: 'Not found',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 404
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > head of a resource 1`] = `
{ body: '', headers: { 'content-type': 'application/json; charset=utf-8' }, status: 200 }
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > job id that is none 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      {
        message: 'Invalid string: must match pattern /^[A-Za-z0-9][A-Za-z0-9._-]*$/',
        messageId: 'invalid_format',
        place: { path: 'jobId' }
      }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > job larger than 1 MiB 1`] = `
{
  body: {
    code: 'bodyTooLarge',
    detail: 'The body is larger than 1 MiB.',
    ran: 'no',
    status: 413,
    title: 'Body too large',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 413
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > job of another content type 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'Unsupported Media Type',
    ran: 'no',
    status: 415,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 415
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > job that does not exist 1`] = `
{
  body: {
    code: 'notFound',
    detail: 'There is no job j-none.',
    ran: 'no',
    status: 404,
    title: 'Not found',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 404
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > job that is not JSON 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: "Body is not valid JSON but content-type is set to 'application/json'",
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > job with every field wrong 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      {
        message: 'Invalid option: expected one of "urgent"|"interactive"|"standard"|"batch"|"bestEffort"',
        messageId: 'invalid_value',
        place: { path: 'workClass' }
      },
      { message: 'Too small: expected number to be >=1', messageId: 'too_small', place: { path: 'gang.vms' } },
      {
        message: 'Too big: expected number to be <=64',
        messageId: 'too_big',
        place: { path: 'gang.acceleratorsPerVm' }
      },
      {
        message: 'Invalid option: expected one of "vm"|"rack"|"dataCentre"|"any"',
        messageId: 'invalid_value',
        place: { path: 'gang.adjacency' }
      },
      {
        message: 'Too small: expected number to be >0',
        messageId: 'too_small',
        place: { path: 'declaredRunMs' }
      },
      {
        message: 'Invalid input: expected boolean, received string',
        messageId: 'invalid_type',
        place: { path: 'idempotent' }
      },
      {
        message: 'Invalid string: must match pattern /^[A-Za-z0-9][A-Za-z0-9._-]*$/',
        messageId: 'invalid_format',
        place: { path: 'requestKey' }
      },
      {
        message: 'Invalid input: expected string, received number',
        messageId: 'invalid_type',
        place: { path: 'payload' }
      },
      { message: 'Unrecognized key: "team"', messageId: 'unrecognized_keys', place: { path: '' } }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > job without a body 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      {
        message: 'Invalid input: expected object, received undefined',
        messageId: 'invalid_type',
        place: { path: '' }
      }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > method that the path does not have 1`] = `
{
  body: {
    code: 'notFound',
    detail: 'There is no resource /v1/jobs.',
    ran: 'no',
    status: 404,
    title: 'Not found',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 404
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > operator as a team 1`] = `
{
  body: {
    code: 'forbidden',
    detail: 'The token does not allow this call.',
    ran: 'no',
    status: 403,
    title: 'Forbidden',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 403
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > payload larger than 256 KiB 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      {
        message: 'Too big: expected string to have <=262144 characters',
        messageId: 'too_big',
        place: { path: 'payload' }
      }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > request to a service that is none 1`] = `
{
  body: {
    code: 'notFound',
    detail: 'There is no service none.',
    ran: 'no',
    status: 404,
    title: 'Not found',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 404
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > request with every field wrong 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      {
        message: 'Invalid option: expected one of "urgent"|"interactive"|"standard"|"batch"|"bestEffort"',
        messageId: 'invalid_value',
        place: { path: 'workClass' }
      },
      {
        message: 'Invalid input: expected boolean, received undefined',
        messageId: 'invalid_type',
        place: { path: 'idempotent' }
      },
      {
        message: 'Invalid input: expected string, received undefined',
        messageId: 'invalid_type',
        place: { path: 'requestKey' }
      },
      {
        message: 'Too big: expected number to be <=600000',
        messageId: 'too_big',
        place: { path: 'timeoutMs' }
      },
      {
        message: 'Invalid input: expected string, received undefined',
        messageId: 'invalid_type',
        place: { path: 'body' }
      },
      { message: 'Unrecognized key: "extra"', messageId: 'unrecognized_keys', place: { path: '' } }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > unknown path 1`] = `
{
  body: {
    code: 'notFound',
    detail: 'There is no resource /v1/nothing.',
    ran: 'no',
    status: 404,
    title: 'Not found',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 404
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > wait for a word 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      {
        message: 'Invalid input: expected number, received NaN',
        messageId: 'invalid_type',
        place: { path: 'timeoutMs' }
      }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > wait longer than allowed 1`] = `
{
  body: {
    code: 'invalidBody',
    detail: 'The body does not match its schema.',
    findings: [
      { message: 'Too big: expected number to be <=60000', messageId: 'too_big', place: { path: 'timeoutMs' } }
    ],
    ran: 'no',
    status: 400,
    title: 'Invalid body',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 400
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > faulty calls > without a token 1`] = `
{
  body: {
    code: 'unauthenticated',
    detail: 'The bearer token is missing or unknown.',
    ran: 'no',
    status: 401,
    title: 'Unauthenticated',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8', 'www-authenticate': 'Bearer' },
  status: 401
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > operators race and drain > burn 1`] = `
{
  body: {
    classes: [
      {
        alert: 'none',
        bad: 0,
        budgetSpent: 0,
        good: 0,
        latencyMs: { count: 0, max: 0, p50: 0, p95: 0, p99: 0 },
        objective: { budgetDays: 30, goodShare: 0.99, withinMs: 2000, workClass: 'interactive' },
        windows: [
          { bad: 0, burnRate: 0, good: 0, window: '5m' },
          { bad: 0, burnRate: 0, good: 0, window: '1h' },
          { bad: 0, burnRate: 0, good: 0, window: '6h' },
          { bad: 0, burnRate: 0, good: 0, window: '3d' }
        ]
      },
      {
        alert: 'none',
        bad: 0,
        budgetSpent: 0,
        good: 0,
        latencyMs: { count: 0, max: 0, p50: 0, p95: 0, p99: 0 },
        objective: { budgetDays: 30, goodShare: 0.99, withinMs: 10000, workClass: 'standard' },
        windows: [
          { bad: 0, burnRate: 0, good: 0, window: '5m' },
          { bad: 0, burnRate: 0, good: 0, window: '1h' },
          { bad: 0, burnRate: 0, good: 0, window: '6h' },
          { bad: 0, burnRate: 0, good: 0, window: '3d' }
        ]
      },
      {
        alert: 'none',
        bad: 0,
        budgetSpent: 0,
        good: 0,
        latencyMs: { count: 0, max: 0, p50: 0, p95: 0, p99: 0 },
        objective: { budgetDays: 30, goodShare: 0.9, withinMs: 30000, workClass: 'bestEffort' },
        windows: [
          { bad: 0, burnRate: 0, good: 0, window: '5m' },
          { bad: 0, burnRate: 0, good: 0, window: '1h' },
          { bad: 0, burnRate: 0, good: 0, window: '6h' },
          { bad: 0, burnRate: 0, good: 0, window: '3d' }
        ]
      }
    ],
    coveredMs: 11250
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > operators race and drain > drain 1`] = `
{
  body: { configVersion: 3, vmId: 'worker-6' },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > operators race and drain > drain again 1`] = `
{
  body: { configVersion: 3, vmId: 'worker-6' },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > operators race and drain > status 1`] = `
{
  body: {
    breaches: { I1: 0, I2: 0, I3: 0, I4: 0, I5: 0, I6: 0, I7: 0, I8: 0 },
    configVersion: 3,
    jobs: [],
    region: 'region-1',
    role: { epoch: 1, holder: 'entry-1' },
    teams: [
      { acceleratorsInUse: 0, queued: 0, running: 0, team: 'alpha' },
      { acceleratorsInUse: 0, queued: 0, running: 0, team: 'beta' }
    ],
    unmetGuarantees: [],
    vms: [
      { accelerators: 8, condition: 'ready', freeAccelerators: 8, leaving: false, vmId: 'worker-1' },
      { accelerators: 8, condition: 'ready', freeAccelerators: 8, leaving: false, vmId: 'worker-2' },
      { accelerators: 8, condition: 'ready', freeAccelerators: 8, leaving: false, vmId: 'worker-3' },
      { accelerators: 8, condition: 'ready', freeAccelerators: 8, leaving: false, vmId: 'worker-4' },
      { accelerators: 8, condition: 'ready', freeAccelerators: 8, leaving: false, vmId: 'worker-5' },
      { accelerators: 8, condition: 'draining', freeAccelerators: 8, leaving: false, vmId: 'worker-6' }
    ]
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > operators race and drain > the operator who lost 1`] = `
{
  body: {
    code: 'versionConflict',
    currentVersion: 2,
    detail: 'The configuration is at version 2; the call was made for version 1.',
    ran: 'no',
    readVersion: 1,
    status: 412,
    title: 'Version conflict',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 412
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > operators race and drain > versions 1`] = `
{
  body: {
    versions: [
      { loadedAt: 'TIME', loadedBy: 'operator', version: 1 },
      { loadedAt: 'TIME', loadedBy: 'operator', version: 2 },
      { loadedAt: 'TIME', loadedBy: 'operator', version: 3 }
    ]
  },
  headers: { 'content-type': 'application/json; charset=utf-8' },
  status: 200
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > repeated request keys > a job's key for a non-idempotent request 1`] = `
{
  body: {
    code: 'keyTaken',
    detail: 'The request key key names another request.',
    ran: 'no',
    status: 409,
    title: 'Request key in use',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 409
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > repeated request keys > a non-idempotent request again 1`] = `
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

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > repeated request keys > a request's key for a job 1`] = `
{
  body: {
    code: 'keyTaken',
    detail: 'The request key once names another request.',
    ran: 'no',
    status: 409,
    title: 'Request key in use',
    type: 'about:blank'
  },
  headers: { 'content-type': 'application/problem+json; charset=utf-8' },
  status: 409
}
`

exports[`packages/verification/dist/tests/apiCalls.test.js > TAP > who may call which route > must match snapshot 1`] = `
POST /v1/jobs: none 401, unknown 401, basic 401, other 202, alpha 202, operator 403
GET /v1/jobs: none 401, unknown 401, basic 401, other 200, alpha 200, operator 403
GET /v1/jobs/JOB: none 401, unknown 401, basic 401, other 404, alpha 200, operator 403
GET /v1/jobs/JOB/wait?timeoutMs=1: none 401, unknown 401, basic 401, other 404, alpha 200, operator 403
POST /v1/jobs/JOB/cancel: none 401, unknown 401, basic 401, other 404, alpha 200, operator 403
POST /v1/services/sorting/requests: none 401, unknown 401, basic 401, other 200, alpha 200, operator 403
GET /v1/history: none 401, unknown 401, basic 401, other 200, alpha 200, operator 403
GET /v1/admin/config: none 401, unknown 401, basic 401, other 403, alpha 403, operator 200
PUT /v1/admin/config: none 401, unknown 401, basic 401, other 403, alpha 403, operator 428
GET /v1/admin/config/history: none 401, unknown 401, basic 401, other 403, alpha 403, operator 200
GET /v1/admin/status: none 401, unknown 401, basic 401, other 403, alpha 403, operator 200
GET /v1/admin/burn: none 401, unknown 401, basic 401, other 403, alpha 403, operator 200
POST /v1/admin/vms/worker-1/drain: none 401, unknown 401, basic 401, other 403, alpha 403, operator 200
POST /v1/admin/jobs/JOB/cancel: none 401, unknown 401, basic 401, other 403, alpha 403, operator 200
GET /v1/admin/teams/alpha/history: none 401, unknown 401, basic 401, other 403, alpha 403, operator 200
GET /v1/schema: none 200, unknown 200, basic 200, other 200, alpha 200, operator 200
GET /healthz: none 200, unknown 200, basic 200, other 200, alpha 200, operator 200
GET /readyz: none 200, unknown 200, basic 200, other 200, alpha 200, operator 200
`
