/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > progress lags > must match snapshot 1`] = `
[ 0, 0, 0.2, 0.4, 0.6, 1 ]
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > fails 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 50,
      jobId: 'job-a',
      startedAt: 0,
      state: 'failed',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [
      {
        attemptId: 'a',
        devices: [ 0 ],
        error: 'the task failed',
        jobId: 'job-a',
        progress: 1,
        state: 'failed'
      }
    ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > fails on a worker that fails every task 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 50,
      jobId: 'job-a',
      startedAt: 0,
      state: 'failed',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [
      {
        attemptId: 'a',
        devices: [ 0 ],
        error: 'the task failed',
        jobId: 'job-a',
        progress: 1,
        state: 'failed'
      }
    ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > finishes 1`] = `
{
  answers: [
    {
      value: { attemptId: 'a', devices: [ 0, 1 ], jobId: 'job-a', progress: 0, state: 'running' },
      variant: 'Ok'
    }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0, 1 ],
      endedAt: 250,
      jobId: 'job-a',
      result: 'done',
      startedAt: 0,
      state: 'finished',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [ { attemptId: 'a', devices: [ 0, 1 ], jobId: 'job-a', progress: 1, result: 'done', state: 'finished' } ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > is unavailable while down and keeps its tasks 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' },
    { error: { detail: 'the worker is down', kind: 'unavailable' }, variant: 'Err' }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 150,
      jobId: 'job-a',
      result: '',
      startedAt: 0,
      state: 'finished',
      vmId: 'vm-1'
    }
  ],
  tasks: { error: { detail: 'the worker is down', kind: 'unavailable' }, variant: 'Err' }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > loses its VM 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' },
    {}
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 100,
      jobId: 'job-a',
      startedAt: 0,
      state: 'stopped',
      vmId: 'vm-1'
    }
  ],
  tasks: { value: [], variant: 'Ok' }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > refuses accelerators that are taken or unknown 1`] = `
{
  answers: [
    {
      value: { attemptId: 'a', devices: [ 0, 1 ], jobId: 'job-a', progress: 0, state: 'running' },
      variant: 'Ok'
    },
    { error: { detail: 'accelerators 1 are taken', kind: 'refused' }, variant: 'Err' },
    {
      value: { attemptId: 'c', devices: [ 1, 2 ], jobId: 'job-c', progress: 0, state: 'running' },
      variant: 'Ok'
    },
    { error: { detail: 'no accelerators 8', kind: 'refused' }, variant: 'Err' }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0, 1 ],
      endedAt: 150,
      jobId: 'job-a',
      result: '',
      startedAt: 0,
      state: 'finished',
      vmId: 'vm-1'
    },
    {
      attemptId: 'c',
      devices: [ 1, 2 ],
      endedAt: 250,
      jobId: 'job-c',
      result: '',
      startedAt: 200,
      state: 'finished',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [
      { attemptId: 'a', devices: [ 0, 1 ], jobId: 'job-a', progress: 1, result: '', state: 'finished' },
      { attemptId: 'c', devices: [ 1, 2 ], jobId: 'job-c', progress: 1, result: '', state: 'finished' }
    ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > runs longer when throttled 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' },
    { variant: 'Ok' },
    { variant: 'Ok' },
    { variant: 'Ok' }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 350,
      jobId: 'job-a',
      result: '',
      startedAt: 0,
      state: 'finished',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [ { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 1, result: '', state: 'finished' } ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > starts an attempt once 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' },
    {
      value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 1, result: '', state: 'finished' },
      variant: 'Ok'
    }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 50,
      jobId: 'job-a',
      result: '',
      startedAt: 0,
      state: 'finished',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [ { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 1, result: '', state: 'finished' } ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > stops when the lease lapses 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' },
    { variant: 'Ok' },
    {
      value: [ { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' } ],
      variant: 'Ok'
    }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 250,
      jobId: 'job-a',
      startedAt: 0,
      state: 'stopped',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [
      {
        attemptId: 'a',
        devices: [ 0 ],
        error: 'the lease lapsed',
        jobId: 'job-a',
        progress: 0.05,
        state: 'stopped'
      }
    ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > stops with a checkpoint and resumes from it 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' },
    {
      value: {
        attemptId: 'a',
        checkpoint: '{"workMs":150}',
        devices: [ 0 ],
        jobId: 'job-a',
        progress: 0.5,
        state: 'stopped'
      },
      variant: 'Ok'
    },
    {
      value: { attemptId: 'b', devices: [ 0 ], jobId: 'job-b', progress: 0.5, state: 'running' },
      variant: 'Ok'
    }
  ],
  runs: [
    {
      attemptId: 'a',
      checkpoint: '{"workMs":150}',
      devices: [ 0 ],
      endedAt: 150,
      jobId: 'job-a',
      startedAt: 0,
      state: 'stopped',
      vmId: 'vm-1'
    },
    {
      attemptId: 'b',
      devices: [ 0 ],
      endedAt: 350,
      jobId: 'job-b',
      result: '',
      resumedFrom: '{"workMs":150}',
      startedAt: 200,
      state: 'finished',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [
      {
        attemptId: 'a',
        checkpoint: '{"workMs":150}',
        devices: [ 0 ],
        jobId: 'job-a',
        progress: 0.5,
        state: 'stopped'
      },
      { attemptId: 'b', devices: [ 0 ], jobId: 'job-b', progress: 1, result: '', state: 'finished' }
    ],
    variant: 'Ok'
  }
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > stops without a checkpoint when the grace is too short 1`] = `
{
  answers: [
    { value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0, state: 'running' }, variant: 'Ok' },
    {
      value: { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0.4, state: 'stopped' },
      variant: 'Ok'
    },
    { error: { detail: 'no task unknown', kind: 'refused' }, variant: 'Err' }
  ],
  runs: [
    {
      attemptId: 'a',
      devices: [ 0 ],
      endedAt: 120,
      jobId: 'job-a',
      startedAt: 0,
      state: 'stopped',
      vmId: 'vm-1'
    }
  ],
  tasks: {
    value: [ { attemptId: 'a', devices: [ 0 ], jobId: 'job-a', progress: 0.4, state: 'stopped' } ],
    variant: 'Ok'
  }
}
`
