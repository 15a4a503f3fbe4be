/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > batches > a few records wait for others 1`] = `
{
  drained: true,
  notes: [ 'r0 durable=true at 500', 'r1 durable=true at 500', 'r2 durable=true at 500' ],
  rows: [
    {
      key: 'history/dyers/batch-b1',
      value: {
        records: [
          {
            at: 1,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-1',
            sequence: 0,
            subjectId: 'r1',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b1',
      value: {
        records: [
          {
            at: 0,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-0',
            sequence: 0,
            subjectId: 'r0',
            team: 'weavers'
          },
          {
            at: 2,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-2',
            sequence: 0,
            subjectId: 'r2',
            team: 'weavers'
          }
        ]
      },
      version: 1
    }
  ],
  writes: 1
}
`

exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > batches > a full batch is written at once 1`] = `
{
  drained: true,
  notes: [
    'r0 durable=true at 0',
    'r1 durable=true at 0',
    'r2 durable=true at 0',
    'r3 durable=true at 0',
    'r4 durable=true at 500'
  ],
  rows: [
    {
      key: 'history/dyers/batch-b1',
      value: {
        records: [
          {
            at: 1,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-1',
            sequence: 0,
            subjectId: 'r1',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/dyers/batch-b2',
      value: {
        records: [
          {
            at: 3,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-3',
            sequence: 0,
            subjectId: 'r3',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b1',
      value: {
        records: [
          {
            at: 0,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-0',
            sequence: 0,
            subjectId: 'r0',
            team: 'weavers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b2',
      value: {
        records: [
          {
            at: 2,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-2',
            sequence: 0,
            subjectId: 'r2',
            team: 'weavers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b3',
      value: {
        records: [
          {
            at: 4,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-4',
            sequence: 0,
            subjectId: 'r4',
            team: 'weavers'
          }
        ]
      },
      version: 1
    }
  ],
  writes: 3
}
`

exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > batches > a lost answer 1`] = `
{
  drained: true,
  notes: [ 'r0 durable=true at 600', 'r1 durable=true at 600', 'r2 durable=true at 600' ],
  rows: [
    {
      key: 'history/dyers/batch-b1',
      value: {
        records: [
          {
            at: 1,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-1',
            sequence: 0,
            subjectId: 'r1',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b1',
      value: {
        records: [
          {
            at: 0,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-0',
            sequence: 0,
            subjectId: 'r0',
            team: 'weavers'
          },
          {
            at: 2,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-2',
            sequence: 0,
            subjectId: 'r2',
            team: 'weavers'
          }
        ]
      },
      version: 1
    }
  ],
  writes: 1
}
`

exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > batches > a slow table 1`] = `
{
  drained: true,
  notes: [ 'r0 durable=true at 1200', 'r1 durable=true at 1200', 'r2 durable=true at 1200' ],
  rows: [
    {
      key: 'history/dyers/batch-b1',
      value: {
        records: [
          {
            at: 1,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-1',
            sequence: 0,
            subjectId: 'r1',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b1',
      value: {
        records: [
          {
            at: 0,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-0',
            sequence: 0,
            subjectId: 'r0',
            team: 'weavers'
          },
          {
            at: 2,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-2',
            sequence: 0,
            subjectId: 'r2',
            team: 'weavers'
          }
        ]
      },
      version: 1
    }
  ],
  writes: 1
}
`

exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > batches > an outage delays 1`] = `
{
  drained: true,
  notes: [ 'r0 durable=true at 3600', 'r1 durable=true at 3600', 'r2 durable=true at 3600' ],
  rows: [
    {
      key: 'history/dyers/batch-b1',
      value: {
        records: [
          {
            at: 1,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-1',
            sequence: 0,
            subjectId: 'r1',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b1',
      value: {
        records: [
          {
            at: 0,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-0',
            sequence: 0,
            subjectId: 'r0',
            team: 'weavers'
          },
          {
            at: 2,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-2',
            sequence: 0,
            subjectId: 'r2',
            team: 'weavers'
          }
        ]
      },
      version: 1
    }
  ],
  writes: 1
}
`

exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > batches > every answer lost for a time 1`] = `
{
  drained: true,
  notes: [ 'r0 durable=true at 3600', 'r1 durable=true at 3600', 'r2 durable=true at 3600' ],
  rows: [
    {
      key: 'history/dyers/batch-b1',
      value: {
        records: [
          {
            at: 1,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-1',
            sequence: 0,
            subjectId: 'r1',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b1',
      value: {
        records: [
          {
            at: 0,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-0',
            sequence: 0,
            subjectId: 'r0',
            team: 'weavers'
          },
          {
            at: 2,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-2',
            sequence: 0,
            subjectId: 'r2',
            team: 'weavers'
          }
        ]
      },
      version: 1
    }
  ],
  writes: 1
}
`

exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > batches > records beyond the bound are refused 1`] = `
{
  drained: true,
  notes: [ 'r2 refused: full', 'r3 refused: full', 'r0 durable=true at 500', 'r1 durable=true at 500' ],
  rows: [
    {
      key: 'history/dyers/batch-b1',
      value: {
        records: [
          {
            at: 1,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-1',
            sequence: 0,
            subjectId: 'r1',
            team: 'dyers'
          }
        ]
      },
      version: 1
    },
    {
      key: 'history/weavers/batch-b1',
      value: {
        records: [
          {
            at: 0,
            detail: '',
            event: 'finished',
            kind: 'request',
            requestKey: 'key-0',
            sequence: 0,
            subjectId: 'r0',
            team: 'weavers'
          }
        ]
      },
      version: 1
    }
  ],
  writes: 1
}
`

exports[`packages/history/dist/tests/historyBatcher.test.js > TAP > drain and abort > must match snapshot 1`] = `
{
  notes: [
    'r2 refused: draining',
    'r1 durable=true at 0',
    'drained=true pending=0',
    'r3 durable=false at 1000',
    'drained=false pending=1'
  ],
  writes: 1
}
`
