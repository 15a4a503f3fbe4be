/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/gateway/dist/tests/admission.test.js > TAP > jobs that would earn nothing are refused, at most every second one, and are not stored > must match snapshot 1`] = `
[
  {
    endMs: 20500,
    event: 'job.refusalWithheld',
    free: 0,
    job: 'a',
    level: 'info',
    limitMs: 14400,
    loadAgeMs: 0,
    loadEpoch: 3,
    reason: 'tooLate',
    total: 80,
    waitMs: 25000,
    work: 12
  },
  {
    answer: 'ok',
    call: 'submit',
    configVersion: 1,
    event: 'request.answered',
    job: 'a',
    level: 'info',
    ms: 0,
    queue: 'renders',
    storeAgeMs: 250,
    team: 'potters'
  },
  {
    endMs: 20500,
    event: 'job.refused',
    free: 0,
    job: 'b',
    level: 'info',
    limitMs: 14400,
    loadAgeMs: 0,
    loadEpoch: 3,
    reason: 'tooLate',
    total: 80,
    waitMs: 25000,
    work: 12
  },
  {
    answer: 'overloaded',
    call: 'submit',
    configVersion: 1,
    event: 'request.answered',
    job: 'b',
    level: 'info',
    ms: 0,
    queue: 'renders',
    storeAgeMs: 250,
    team: 'potters'
  },
  {
    endMs: 20500,
    event: 'job.refusalWithheld',
    free: 0,
    job: 'c',
    level: 'info',
    limitMs: 14400,
    loadAgeMs: 0,
    loadEpoch: 3,
    reason: 'tooLate',
    total: 80,
    waitMs: 25000,
    work: 12
  },
  {
    answer: 'ok',
    call: 'submit',
    configVersion: 1,
    event: 'request.answered',
    job: 'c',
    level: 'info',
    ms: 0,
    queue: 'renders',
    storeAgeMs: 250,
    team: 'potters'
  },
  {
    endMs: 20500,
    event: 'job.refused',
    free: 0,
    job: 'd',
    level: 'info',
    limitMs: 14400,
    loadAgeMs: 0,
    loadEpoch: 3,
    reason: 'tooLate',
    total: 80,
    waitMs: 25000,
    work: 12
  },
  {
    answer: 'overloaded',
    call: 'submit',
    configVersion: 1,
    event: 'request.answered',
    job: 'd',
    level: 'info',
    ms: 0,
    queue: 'renders',
    storeAgeMs: 250,
    team: 'potters'
  },
  {
    endMs: 20500,
    event: 'job.refusalWithheld',
    free: 0,
    job: 'e',
    level: 'info',
    limitMs: 14400,
    loadAgeMs: 0,
    loadEpoch: 3,
    reason: 'tooLate',
    total: 80,
    waitMs: 25000,
    work: 12
  },
  {
    answer: 'ok',
    call: 'submit',
    configVersion: 1,
    event: 'request.answered',
    job: 'e',
    level: 'info',
    ms: 0,
    queue: 'renders',
    storeAgeMs: 250,
    team: 'potters'
  },
  {
    endMs: 20500,
    event: 'job.refused',
    free: 0,
    job: 'f',
    level: 'info',
    limitMs: 14400,
    loadAgeMs: 0,
    loadEpoch: 3,
    reason: 'tooLate',
    total: 80,
    waitMs: 25000,
    work: 12
  },
  {
    answer: 'overloaded',
    call: 'submit',
    configVersion: 1,
    event: 'request.answered',
    job: 'f',
    level: 'info',
    ms: 0,
    queue: 'renders',
    storeAgeMs: 250,
    team: 'potters'
  }
]
`

exports[`packages/gateway/dist/tests/admission.test.js > TAP > the time to the next try follows the forecast and the priority > must match snapshot 1`] = `
{ after: { previews: 10, renders: 3 }, before: { previews: 1, renders: 1 } }
`
