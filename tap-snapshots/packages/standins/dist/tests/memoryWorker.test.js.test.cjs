/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > progress lags > must match snapshot 1`] = `
Array [
  0,
  0,
  0.2,
  0.4,
  0.6,
  1,
]
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > fails 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 50,
      "jobId": "job-a",
      "startedAt": 0,
      "state": "failed",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "error": "the task failed",
        "jobId": "job-a",
        "progress": 1,
        "state": "failed",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > fails on a worker that fails every task 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 50,
      "jobId": "job-a",
      "startedAt": 0,
      "state": "failed",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "error": "the task failed",
        "jobId": "job-a",
        "progress": 1,
        "state": "failed",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > finishes 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
          1,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
        1,
      ],
      "endedAt": 250,
      "jobId": "job-a",
      "result": "done",
      "startedAt": 0,
      "state": "finished",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
          1,
        ],
        "jobId": "job-a",
        "progress": 1,
        "result": "done",
        "state": "finished",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > is unavailable while down and keeps its tasks 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": "the worker is down",
        "kind": "unavailable",
      },
      "variant": "Err",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 150,
      "jobId": "job-a",
      "result": "",
      "startedAt": 0,
      "state": "finished",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "error": Object {
      "detail": "the worker is down",
      "kind": "unavailable",
    },
    "variant": "Err",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > loses its VM 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {},
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 100,
      "jobId": "job-a",
      "startedAt": 0,
      "state": "stopped",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > refuses accelerators that are taken or unknown 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
          1,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": "accelerators 1 are taken",
        "kind": "refused",
      },
      "variant": "Err",
    },
    Object {
      "value": Object {
        "attemptId": "c",
        "devices": Array [
          1,
          2,
        ],
        "jobId": "job-c",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": "no accelerators 8",
        "kind": "refused",
      },
      "variant": "Err",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
        1,
      ],
      "endedAt": 150,
      "jobId": "job-a",
      "result": "",
      "startedAt": 0,
      "state": "finished",
      "vmId": "vm-1",
    },
    Object {
      "attemptId": "c",
      "devices": Array [
        1,
        2,
      ],
      "endedAt": 250,
      "jobId": "job-c",
      "result": "",
      "startedAt": 200,
      "state": "finished",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
          1,
        ],
        "jobId": "job-a",
        "progress": 1,
        "result": "",
        "state": "finished",
      },
      Object {
        "attemptId": "c",
        "devices": Array [
          1,
          2,
        ],
        "jobId": "job-c",
        "progress": 1,
        "result": "",
        "state": "finished",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > runs longer when throttled 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "variant": "Ok",
    },
    Object {
      "variant": "Ok",
    },
    Object {
      "variant": "Ok",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 350,
      "jobId": "job-a",
      "result": "",
      "startedAt": 0,
      "state": "finished",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 1,
        "result": "",
        "state": "finished",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > starts an attempt once 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 1,
        "result": "",
        "state": "finished",
      },
      "variant": "Ok",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 50,
      "jobId": "job-a",
      "result": "",
      "startedAt": 0,
      "state": "finished",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 1,
        "result": "",
        "state": "finished",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > stops when the lease lapses 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "variant": "Ok",
    },
    Object {
      "value": Array [
        Object {
          "attemptId": "a",
          "devices": Array [
            0,
          ],
          "jobId": "job-a",
          "progress": 0,
          "state": "running",
        },
      ],
      "variant": "Ok",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 250,
      "jobId": "job-a",
      "startedAt": 0,
      "state": "stopped",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "error": "the lease lapsed",
        "jobId": "job-a",
        "progress": 0.05,
        "state": "stopped",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > stops with a checkpoint and resumes from it 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "value": Object {
        "attemptId": "a",
        "checkpoint": "{\\"workMs\\":150}",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0.5,
        "state": "stopped",
      },
      "variant": "Ok",
    },
    Object {
      "value": Object {
        "attemptId": "b",
        "devices": Array [
          0,
        ],
        "jobId": "job-b",
        "progress": 0.5,
        "state": "running",
      },
      "variant": "Ok",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 150,
      "jobId": "job-a",
      "startedAt": 0,
      "state": "stopped",
      "vmId": "vm-1",
    },
    Object {
      "attemptId": "b",
      "devices": Array [
        0,
      ],
      "endedAt": 350,
      "jobId": "job-b",
      "result": "",
      "startedAt": 200,
      "state": "finished",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "checkpoint": "{\\"workMs\\":150}",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0.5,
        "state": "stopped",
      },
      Object {
        "attemptId": "b",
        "devices": Array [
          0,
        ],
        "jobId": "job-b",
        "progress": 1,
        "result": "",
        "state": "finished",
      },
    ],
    "variant": "Ok",
  },
}
`

exports[`packages/standins/dist/tests/memoryWorker.test.js > TAP > tasks of a worker > stops without a checkpoint when the grace is too short 1`] = `
Object {
  "answers": Array [
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0,
        "state": "running",
      },
      "variant": "Ok",
    },
    Object {
      "value": Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0.4,
        "state": "stopped",
      },
      "variant": "Ok",
    },
    Object {
      "error": Object {
        "detail": "no task unknown",
        "kind": "refused",
      },
      "variant": "Err",
    },
  ],
  "runs": Array [
    Object {
      "attemptId": "a",
      "devices": Array [
        0,
      ],
      "endedAt": 120,
      "jobId": "job-a",
      "startedAt": 0,
      "state": "stopped",
      "vmId": "vm-1",
    },
  ],
  "tasks": Object {
    "value": Array [
      Object {
        "attemptId": "a",
        "devices": Array [
          0,
        ],
        "jobId": "job-a",
        "progress": 0.4,
        "state": "stopped",
      },
    ],
    "variant": "Ok",
  },
}
`
