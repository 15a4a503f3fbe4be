/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > a step after another 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    },
    {
      after: [ 0 ],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > anti_affinity 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      maxPerExecutor: 1,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > checkpointing 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: true,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > count 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 3,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > cpu 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 500 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > data_rack 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      dataRack: 'r1',
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > estimated_ms 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 70,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > fills 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: true
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > gang_scheduled 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: true,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > gpus 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 2, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > image 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      image: 'i',
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > long_running 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: true,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > may_miss 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      mayMiss: 1,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > no optional field 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > repetition 1`] = `
{
  payload: 'p',
  repetition: { count: 2, firstDueAt: 5, intervalMs: 9 },
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > required_label 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      requiredLabel: 'big',
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > speculative 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: true,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > target_ms 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      targetMs: 9,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > task_memory_mb 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 64, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: false,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > bodies of jobs > tightly_coupled 1`] = `
{
  payload: 'p',
  steps: [
    {
      after: [],
      count: 1,
      declaredMs: 0,
      demand: { accelerators: 0, memoryMb: 0, milliCores: 0 },
      hasCheckpoints: false,
      isGang: false,
      isLongRunning: false,
      isSpeculative: false,
      isTight: true,
      usesIdleCores: false
    }
  ]
}
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > a capacity above the safe integers 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > a deeply nested unknown field 1`] = `
{
  body: '{}',
  seen: [
    {
      info: {
        address: '127.0.0.1:9',
        born: 5,
        capacity: { accelerators: 8, memoryMb: 100, milliCores: 8000 },
        dataCentre: 'z',
        executorId: 'x1',
        isDraining: false,
        labels: [ 'kind', 'r1' ],
        rack: 'r1',
        service: 's'
      },
      sequence: 1
    }
  ],
  status: 200
}
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > a port out of range 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > a sequence above the safe integers 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > an incarnation above the safe integers 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > an invalid host 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > cold 1`] = `
{
  body: '{}',
  seen: [
    {
      info: {
        address: '127.0.0.1:9',
        born: 5,
        capacity: { accelerators: 8, memoryMb: 100, milliCores: 8000 },
        coldRemainingMs: 1500,
        dataCentre: 'z',
        executorId: 'x1',
        isDraining: false,
        labels: [ 'kind', 'r1' ],
        rack: 'r1',
        service: 's'
      },
      sequence: 1
    }
  ],
  status: 200
}
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > deregistration with a body 1`] = `
{ body: '{}', seen: [ { left: 'x1' } ], status: 200 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > deregistration without a body 1`] = `
{ body: '{}', seen: [ { left: 'x1' } ], status: 200 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > draining 1`] = `
{
  body: '{}',
  seen: [
    {
      info: {
        address: '127.0.0.1:9',
        born: 5,
        capacity: { accelerators: 8, memoryMb: 100, milliCores: 8000 },
        dataCentre: 'z',
        executorId: 'x1',
        isDraining: true,
        labels: [ 'kind', 'r1' ],
        rack: 'r1',
        remainingMs: 700,
        service: 's'
      },
      sequence: 1
    }
  ],
  status: 200
}
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > fractional capacity 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > negative cold time 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > negative remaining time 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > no host 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > no port 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > not cold any more 1`] = `
{
  body: '{}',
  seen: [
    {
      info: {
        address: '127.0.0.1:9',
        born: 5,
        capacity: { accelerators: 8, memoryMb: 100, milliCores: 8000 },
        coldRemainingMs: 0,
        dataCentre: 'z',
        executorId: 'x1',
        isDraining: false,
        labels: [ 'kind', 'r1' ],
        rack: 'r1',
        service: 's'
      },
      sequence: 1
    }
  ],
  status: 200
}
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > well-formed 1`] = `
{
  body: '{}',
  seen: [
    {
      info: {
        address: '127.0.0.1:9',
        born: 5,
        capacity: { accelerators: 8, memoryMb: 100, milliCores: 8000 },
        dataCentre: 'z',
        executorId: 'x1',
        isDraining: false,
        labels: [ 'kind', 'r1' ],
        rack: 'r1',
        service: 's'
      },
      sequence: 1
    }
  ],
  status: 200
}
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > without a cold time 1`] = `
{
  body: '{}',
  seen: [
    {
      info: {
        address: '127.0.0.1:9',
        born: 5,
        capacity: { accelerators: 8, memoryMb: 100, milliCores: 8000 },
        dataCentre: 'z',
        executorId: 'x1',
        isDraining: false,
        labels: [ 'kind', 'r1' ],
        rack: 'r1',
        service: 's'
      },
      sequence: 1
    }
  ],
  status: 200
}
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > without a state 1`] = `
{ body: '{"error":"The heartbeat is malformed."}', seen: [], status: 400 }
`

exports[`platform/dist/tests/translations.test.js > TAP > heartbeats > without labels 1`] = `
{
  body: '{}',
  seen: [
    {
      info: {
        address: '127.0.0.1:9',
        born: 5,
        capacity: { accelerators: 8, memoryMb: 100, milliCores: 8000 },
        dataCentre: 'z',
        executorId: 'x1',
        isDraining: false,
        labels: [],
        service: 's'
      },
      sequence: 1
    }
  ],
  status: 200
}
`

exports[`platform/dist/tests/translations.test.js > TAP > settings > agent 1`] = `
{
  error: [
    {
      message: 'The value is not valid: Too small: expected string to have >=1 characters.',
      messageId: 'invalidValue',
      place: { file: 'agent.toml', line: 1, path: 'vm' }
    },
    {
      message: 'The value is not valid: Too small: expected number to be >0.',
      messageId: 'invalidValue',
      place: { file: 'agent.toml', line: 4, path: 'innerPort' }
    }
  ],
  variant: 'Err'
}
`

exports[`platform/dist/tests/translations.test.js > TAP > settings > entry 1`] = `
{
  error: [
    {
      message: 'The value is not valid: expected number, received string.',
      messageId: 'invalidValue',
      place: { file: 'entry.toml', line: 11, path: 'bounds.maxLeaseMs' }
    },
    {
      message: 'A value is required here: expected number, received undefined.',
      messageId: 'missingKey',
      place: { file: 'entry.toml', line: 10, path: 'bounds.restoreMs' }
    },
    {
      message: 'The value is not valid: Too small: expected number to be >=1.',
      messageId: 'invalidValue',
      place: { file: 'entry.toml', line: 17, path: 'bounds.spreadSlowdown' }
    }
  ],
  variant: 'Err'
}
`

exports[`platform/dist/tests/translations.test.js > TAP > the operator's configuration row > configuration 1`] = `
{
  maxBodyBytes: 262144,
  queues: [
    {
      advice: { decisionMs: 1, perExecutorMs: 0, validityMs: 0 },
      host: 'h',
      isPublic: false,
      maxAttempts: 1,
      name: 'q',
      pathPrefix: '/q/',
      priority: 0,
      service: '',
      slackFactor: 3,
      targetLatencyMs: 0
    }
  ],
  services: [ { enforcesCapacity: false, isStandby: false, maxConnections: 64, name: 's' } ],
  teams: [
    { apiKeys: [ 'k' ], guaranteedAccelerators: 2, name: 't' },
    { apiKeys: [], guaranteedAccelerators: 0, name: 'u' }
  ],
  version: 4
}
`

exports[`platform/dist/tests/translations.test.js > TAP > the operator's configuration row > problems of malformed configurations 1`] = `
[
  { detail: 'The row is not JSON.' },
  { detail: 'Invalid input: expected object, received array', version: undefined },
  { detail: 'version: Invalid input: expected number, received undefined', version: undefined },
  { detail: 'version: Invalid input: expected int, received number', version: 1.5 },
  { detail: 'queues.0.priority: Too small: expected number to be >=0', version: 4 }
]
`

exports[`platform/dist/tests/translations.test.js > TAP > the operator's evacuation rows > lines 1`] = `
[
  {
    dataCentre: 'west',
    event: 'evacuation.started',
    level: 'info',
    peer: undefined,
    silenceMs: undefined,
    version: 3
  },
  { dataCentre: 'north', event: 'evacuation.unexpectedValue', level: 'warn', version: 5 },
  { event: 'evacuation.malformedKey', level: 'warn', version: 6 },
  {
    dataCentre: 'east',
    event: 'evacuation.started',
    level: 'info',
    peer: undefined,
    silenceMs: undefined,
    version: 9
  },
  {
    dataCentre: 'north',
    event: 'evacuation.started',
    level: 'info',
    peer: undefined,
    silenceMs: undefined,
    version: 9
  },
  {
    dataCentre: 'west',
    event: 'evacuation.ended',
    level: 'info',
    peer: undefined,
    silenceMs: undefined,
    version: 9
  }
]
`
