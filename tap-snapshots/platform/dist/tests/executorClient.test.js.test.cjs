/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > list, a fractional run number 1`] = `
{
  result: { error: { detail: 'The executor answered 200.', kind: 'unanswered' }, variant: 'Err' },
  sent: [ { body: { fencing_token: 3, last_seen: 4 }, instance: 'x1', method: 'POST', url: '/-/hold' } ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > list, a run without a load 1`] = `
{
  result: {
    value: {
      born: 1,
      clockMs: 5,
      ends: [ { checkpoint: '', kind: 'done', number: 9, run: 1, task: 'j.0.0.1' } ],
      hasMoreEnds: false,
      running: [
        { checkpoint: 'c', percent: 40, run: 2, task: 'j.0.0.0' },
        { checkpoint: '', percent: 0, run: 1, task: 'j.0.0.1' }
      ]
    },
    variant: 'Ok'
  },
  sent: [ { body: { fencing_token: 3, last_seen: 4 }, instance: 'x1', method: 'POST', url: '/-/hold' } ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > list, done 1`] = `
{
  result: {
    value: {
      born: 1,
      clockMs: 5,
      ends: [ { checkpoint: '', kind: 'done', number: 9, run: 1, task: 'j.0.0.1' } ],
      hasMoreEnds: false,
      running: [ { checkpoint: 'c', load: 7, percent: 40, run: 2, task: 'j.0.0.0' } ]
    },
    variant: 'Ok'
  },
  sent: [ { body: { fencing_token: 3, last_seen: 4 }, instance: 'x1', method: 'POST', url: '/-/hold' } ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > list, malformed 1`] = `
{
  result: { error: { detail: 'The executor answered 200.', kind: 'unanswered' }, variant: 'Err' },
  sent: [ { body: { fencing_token: 3, last_seen: 4 }, instance: 'x1', method: 'POST', url: '/-/hold' } ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > list, other incarnation 1`] = `
{
  result: { error: { kind: 'refused', reason: 'incarnation' }, variant: 'Err' },
  sent: [ { body: { fencing_token: 3, last_seen: 4 }, instance: 'x1', method: 'POST', url: '/-/hold' } ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > list, with wait and deadline 1`] = `
{
  result: { value: { born: 1, clockMs: 5, ends: [], hasMoreEnds: false, running: [] }, variant: 'Ok' },
  sent: [
    {
      body: { deadline_ms: 90, fencing_token: 3, last_seen: 4, wait_ms: 20 },
      instance: 'x1',
      method: 'POST',
      url: '/-/hold'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > pace, done 1`] = `
{
  result: { value: { clockMs: 5 }, variant: 'Ok' },
  sent: [
    {
      body: { fencing_token: 3, percentage: 20, run_id: 2, task_id: 'j.0.0.0' },
      instance: 'x1',
      method: 'POST',
      url: '/-/pace'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > pace, refused 1`] = `
{
  result: { error: { kind: 'refused', reason: 'old' }, variant: 'Err' },
  sent: [
    {
      body: { fencing_token: 3, percentage: 20, run_id: 2, task_id: 'j.0.0.0' },
      instance: 'x1',
      method: 'POST',
      url: '/-/pace'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start from a checkpoint 1`] = `
{
  result: { value: { clockMs: 5 }, variant: 'Ok' },
  sent: [
    {
      body: {
        checkpoint: 'c',
        deadline_ms: 50,
        fencing_token: 3,
        run_id: 2,
        task_id: 'j.0.0.0',
        task_spec: 'p',
        ticket: 't'
      },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, connection closed without a response 1`] = `
{
  result: { error: { detail: 'other side closed', kind: 'unanswered' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, done 1`] = `
{
  result: { value: { clockMs: 5 }, variant: 'Ok' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, malformed response 1`] = `
{
  result: { error: { detail: 'The executor answered 200.', kind: 'unanswered' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: draining 1`] = `
{
  result: { error: { kind: 'refused', reason: 'draining' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: fence 1`] = `
{
  result: { error: { kind: 'refused', reason: 'fence' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: incarnation 1`] = `
{
  result: { error: { kind: 'refused', reason: 'incarnation' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: invalid 1`] = `
{
  result: { error: { kind: 'refused', reason: 'invalid' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: late 1`] = `
{
  result: { error: { kind: 'refused', reason: 'late' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: old 1`] = `
{
  result: { error: { kind: 'refused', reason: 'old' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: room 1`] = `
{
  result: { error: { kind: 'refused', reason: 'room' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: ticket 1`] = `
{
  result: { error: { kind: 'refused', reason: 'ticket' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, refused: unhealthy 1`] = `
{
  result: { error: { kind: 'refused', reason: 'unhealthy' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, status 400 1`] = `
{
  result: { error: { kind: 'refused', reason: 'invalid' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, status 421 1`] = `
{
  result: { error: { kind: 'refused', reason: 'incarnation' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, status 429 1`] = `
{
  result: { error: { kind: 'refused', reason: 'unhealthy' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, status 500 1`] = `
{
  result: { error: { detail: 'The executor answered 500.', kind: 'unanswered' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > start, status 503 1`] = `
{
  result: { error: { kind: 'refused', reason: 'unhealthy' }, variant: 'Err' },
  sent: [
    {
      body: { deadline_ms: 50, fencing_token: 3, run_id: 2, task_id: 'j.0.0.0', task_spec: 'p' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-start'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > stop, done 1`] = `
{
  result: { value: { clockMs: 5 }, variant: 'Ok' },
  sent: [
    {
      body: { fencing_token: 3, run_id: 2, task_id: 'j.0.0.0' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-stop'
    }
  ]
}
`

exports[`platform/dist/tests/executorClient.test.js > TAP > responses of the executor > stop, refused 1`] = `
{
  result: { error: { kind: 'refused', reason: 'fence' }, variant: 'Err' },
  sent: [
    {
      body: { fencing_token: 3, run_id: 2, task_id: 'j.0.0.0' },
      instance: 'x1',
      method: 'POST',
      url: '/-/run-stop'
    }
  ]
}
`
