/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/servers.test.js > TAP > abort of a request > must match snapshot 1`] = `
Array [
  Object {
    "attemptId": "a",
    "isEnded": true,
    "service": "s",
    "state": "aborted",
    "team": "t",
    "vmId": "vm-1",
  },
]
`

exports[`packages/standins/dist/tests/servers.test.js > TAP > executor over HTTP > must match snapshot 1`] = `
Object {
  "answers": Array [
    Object {
      "value": "echo",
      "variant": "Ok",
    },
    Object {
      "value": "text",
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": "the executor failed",
        "kind": "unavailable",
      },
      "variant": "Err",
    },
    Object {
      "error": Object {
        "detail": "the executor is down",
        "kind": "refused",
      },
      "variant": "Err",
    },
  ],
  "runs": Array [
    Object {
      "answer": "echo",
      "attemptId": "a",
      "isEnded": true,
      "service": "s",
      "state": "finished",
      "team": "t",
      "vmId": "vm-1",
    },
    Object {
      "answer": "text",
      "attemptId": "b",
      "isEnded": true,
      "service": "s",
      "state": "finished",
      "team": "t",
      "vmId": "vm-1",
    },
    Object {
      "attemptId": "c",
      "isEnded": true,
      "service": "s",
      "state": "failed",
      "team": "t",
      "vmId": "vm-1",
    },
  ],
}
`

exports[`packages/standins/dist/tests/servers.test.js > TAP > object store over HTTP > must match snapshot 1`] = `
Array [
  Object {
    "variant": "Ok",
  },
  Object {
    "variant": "Ok",
  },
  Object {
    "value": String(
      line 1
      line 2 ü
    ),
    "variant": "Ok",
  },
  Object {
    "value": "",
    "variant": "Ok",
  },
  Object {
    "error": Object {
      "key": "none",
      "kind": "missing",
    },
    "variant": "Err",
  },
  Object {
    "error": Object {
      "detail": "the object store is down",
      "kind": "unavailable",
    },
    "variant": "Err",
  },
  Object {
    "error": Object {
      "detail": "the object store is down",
      "kind": "unavailable",
    },
    "variant": "Err",
  },
]
`

exports[`packages/standins/dist/tests/servers.test.js > TAP > worker over HTTP > must match snapshot 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a/1",
        "devices": Array [
          0,
        ],
        "jobId": "j",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": "accelerators 0 are taken",
        "kind": "refused",
      },
      "variant": "Err",
    },
    Object {
      "variant": "Ok",
    },
    Object {
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": "no task c",
        "kind": "refused",
      },
      "variant": "Err",
    },
    Object {
      "value": Array [
        Object {
          "attemptId": "a/1",
          "devices": Array [
            0,
          ],
          "jobId": "j",
          "progress": 0,
          "state": "running",
        },
      ],
      "variant": "Ok",
    },
    Object {
      "value": Object {
        "attemptId": "a/1",
        "devices": Array [
          0,
        ],
        "jobId": "j",
        "progress": 0,
        "state": "stopped",
      },
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": String(
          [
            {
              "origin": "number",
              "code": "too_small",
              "minimum": 0,
              "inclusive": true,
              "path": [
                "devices",
                0
              ],
              "message": "Too small: expected number to be >=0"
            }
          ]
        ),
        "kind": "unavailable",
      },
      "variant": "Err",
    },
  ],
  "down": Object {
    "error": Object {
      "detail": "the worker is down",
      "kind": "unavailable",
    },
    "variant": "Err",
  },
  "faults": Object {
    "down": true,
    "failAll": false,
    "slow": 0,
  },
  "runs": Array [
    Object {
      "attemptId": "a/1",
      "devices": Array [
        0,
      ],
      "isEnded": true,
      "jobId": "j",
      "state": "stopped",
      "vmId": "vm-1",
    },
  ],
}
`
