/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/servers.test.js > TAP > abort of a request > must match snapshot 1`] = `
[ { attemptId: 'a', isEnded: true, service: 's', state: 'aborted', team: 't', vmId: 'vm-1' } ]
`

exports[`packages/standins/dist/tests/servers.test.js > TAP > executor over HTTP > must match snapshot 1`] = `
{
  answers: [
    { value: 'echo', variant: 'Ok' },
    { value: 'text', variant: 'Ok' },
    { error: { detail: 'the executor failed', kind: 'unavailable' }, variant: 'Err' },
    { error: { detail: 'the executor is down', kind: 'refused' }, variant: 'Err' }
  ],
  runs: [
    { answer: 'echo', attemptId: 'a', isEnded: true, service: 's', state: 'finished', team: 't', vmId: 'vm-1' },
    { answer: 'text', attemptId: 'b', isEnded: true, service: 's', state: 'finished', team: 't', vmId: 'vm-1' },
    { attemptId: 'c', isEnded: true, service: 's', state: 'failed', team: 't', vmId: 'vm-1' }
  ]
}
`

exports[`packages/standins/dist/tests/servers.test.js > TAP > object store over HTTP > must match snapshot 1`] = `
[
  { variant: 'Ok' },
  { variant: 'Ok' },
  { value: 'line 1\\nline 2 ü', variant: 'Ok' },
  { value: '', variant: 'Ok' },
  { error: { key: 'none', kind: 'missing' }, variant: 'Err' },
  { error: { detail: 'the object store is down', kind: 'unavailable' }, variant: 'Err' },
  { error: { detail: 'the object store is down', kind: 'unavailable' }, variant: 'Err' }
]
`

exports[`packages/standins/dist/tests/servers.test.js > TAP > worker over HTTP > must match snapshot 1`] = `
{
  answers: [
    { value: { attemptId: 'a/1', devices: [ 0 ], jobId: 'j', progress: 0, state: 'running' }, variant: 'Ok' },
    { error: { detail: 'accelerators 0 are taken', kind: 'refused' }, variant: 'Err' },
    { variant: 'Ok' },
    { variant: 'Ok' },
    { error: { detail: 'no task c', kind: 'refused' }, variant: 'Err' },
    {
      value: [ { attemptId: 'a/1', devices: [ 0 ], jobId: 'j', progress: 0, state: 'running' } ],
      variant: 'Ok'
    },
    { value: { attemptId: 'a/1', devices: [ 0 ], jobId: 'j', progress: 0, state: 'stopped' }, variant: 'Ok' },
    {
      error: {
        detail: '[\\n' +
          '  {\\n' +
          '    "origin": "number",\\n' +
          '    "code": "too_small",\\n' +
          '    "minimum": 0,\\n' +
          '    "inclusive": true,\\n' +
          '    "path": [\\n' +
          '      "devices",\\n' +
          '      0\\n' +
          '    ],\\n' +
          '    "message": "Too small: expected number to be >=0"\\n' +
          '  }\\n' +
          ']',
        kind: 'unavailable'
      },
      variant: 'Err'
    }
  ],
  down: { error: { detail: 'the worker is down', kind: 'unavailable' }, variant: 'Err' },
  faults: { down: true, failAll: false, slow: 0 },
  runs: [ { attemptId: 'a/1', devices: [ 0 ], isEnded: true, jobId: 'j', state: 'stopped', vmId: 'vm-1' } ]
}
`
