/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/inventory/dist/tests/diffInventory.test.js > TAP > differences in typed form and as text > text 1`] = `
VMs: 1 added, 1 removed, 1 changed
  + d: executor of desk in north/r1, 8 cores, 1024 MB, 0 accelerators
  - a: worker in north/r1, 8 cores, 1024 MB, 8 accelerators
  ~ b: rack "r1" -> "r2", cores 8 -> 4
Teams: 1 added, 1 removed, 1 changed
  + t3: weight 1, quota (none)
  - t2: weight 1, quota (none)
  ~ t1: weight 1 -> 2, tokenSha256 11111111... -> 44444444..., quotaAccelerators (none) -> 8
Guarantees: 1 added, 1 removed, 1 changed
  + t1/new: 3 times 1 VMs of 8 accelerators, adjacency any, in north
  - t1/old: 1 times 1 VMs of 8 accelerators, adjacency any
  ~ t1/g: shape.vms 1 -> 2, shape.adjacency "any" -> "rack", dataCentres (none) -> ["north"]
Operators: 1 added, 0 removed, 0 changed
  + night
Drained VMs: 1 added, 1 removed, 0 changed
  + b
  - a
Rules: 1 changed
  ~ completionWeight 0.5 -> 0.8
`

exports[`packages/inventory/dist/tests/diffInventory.test.js > TAP > differences in typed form and as text > text, the other way 1`] = `
VMs: 1 added, 1 removed, 1 changed
  + a: worker in north/r1, 8 cores, 1024 MB, 8 accelerators
  - d: executor of desk in north/r1, 8 cores, 1024 MB, 0 accelerators
  ~ b: rack "r2" -> "r1", cores 4 -> 8
Teams: 1 added, 1 removed, 1 changed
  + t2: weight 1, quota (none)
  - t3: weight 1, quota (none)
  ~ t1: weight 2 -> 1, quotaAccelerators 8 -> (none), tokenSha256 44444444... -> 11111111...
Guarantees: 1 added, 1 removed, 1 changed
  + t1/old: 1 times 1 VMs of 8 accelerators, adjacency any
  - t1/new: 3 times 1 VMs of 8 accelerators, adjacency any, in north
  ~ t1/g: shape.vms 2 -> 1, shape.adjacency "rack" -> "any", dataCentres ["north"] -> (none)
Operators: 0 added, 1 removed, 0 changed
  - night
Drained VMs: 1 added, 1 removed, 0 changed
  + a
  - b
Rules: 1 changed
  ~ completionWeight 0.8 -> 0.5
`

exports[`packages/inventory/dist/tests/diffInventory.test.js > TAP > differences in typed form and as text > typed 1`] = `
Object {
  "drained": Object {
    "added": Array [
      "b",
    ],
    "changed": Array [],
    "removed": Array [
      "a",
    ],
  },
  "guarantees": Object {
    "added": Array [
      Object {
        "count": 3,
        "dataCentres": Array [
          "north",
        ],
        "name": "new",
        "shape": Object {
          "acceleratorsPerVm": 8,
          "adjacency": "any",
          "coresPerVm": 0,
          "memoryMbPerVm": 0,
          "vms": 1,
        },
        "team": "t1",
      },
    ],
    "changed": Array [
      Object {
        "after": Object {
          "count": 1,
          "dataCentres": Array [
            "north",
          ],
          "name": "g",
          "shape": Object {
            "acceleratorsPerVm": 8,
            "adjacency": "rack",
            "coresPerVm": 0,
            "memoryMbPerVm": 0,
            "vms": 2,
          },
          "team": "t1",
        },
        "before": Object {
          "count": 1,
          "name": "g",
          "shape": Object {
            "acceleratorsPerVm": 8,
            "adjacency": "any",
            "coresPerVm": 0,
            "memoryMbPerVm": 0,
            "vms": 1,
          },
          "team": "t1",
        },
        "fields": Array [
          Object {
            "after": 2,
            "before": 1,
            "field": "shape.vms",
          },
          Object {
            "after": "rack",
            "before": "any",
            "field": "shape.adjacency",
          },
          Object {
            "after": Array [
              "north",
            ],
            "before": undefined,
            "field": "dataCentres",
          },
        ],
      },
    ],
    "removed": Array [
      Object {
        "count": 1,
        "name": "old",
        "shape": Object {
          "acceleratorsPerVm": 8,
          "adjacency": "any",
          "coresPerVm": 0,
          "memoryMbPerVm": 0,
          "vms": 1,
        },
        "team": "t1",
      },
    ],
  },
  "operators": Object {
    "added": Array [
      Object {
        "id": "night",
        "tokenSha256": "6666666666666666666666666666666666666666666666666666666666666666",
      },
    ],
    "changed": Array [],
    "removed": Array [],
  },
  "rules": Array [
    Object {
      "after": 0.8,
      "before": 0.5,
      "field": "completionWeight",
    },
  ],
  "teams": Object {
    "added": Array [
      Object {
        "id": "t3",
        "tokenSha256": "5555555555555555555555555555555555555555555555555555555555555555",
        "weight": 1,
      },
    ],
    "changed": Array [
      Object {
        "after": Object {
          "id": "t1",
          "quotaAccelerators": 8,
          "tokenSha256": "4444444444444444444444444444444444444444444444444444444444444444",
          "weight": 2,
        },
        "before": Object {
          "id": "t1",
          "tokenSha256": "1111111111111111111111111111111111111111111111111111111111111111",
          "weight": 1,
        },
        "fields": Array [
          Object {
            "after": 2,
            "before": 1,
            "field": "weight",
          },
          Object {
            "after": "4444444444444444444444444444444444444444444444444444444444444444",
            "before": "1111111111111111111111111111111111111111111111111111111111111111",
            "field": "tokenSha256",
          },
          Object {
            "after": 8,
            "before": undefined,
            "field": "quotaAccelerators",
          },
        ],
      },
    ],
    "removed": Array [
      Object {
        "id": "t2",
        "tokenSha256": "2222222222222222222222222222222222222222222222222222222222222222",
        "weight": 1,
      },
    ],
  },
  "vms": Object {
    "added": Array [
      Object {
        "accelerators": 0,
        "cores": 8,
        "dataCentre": "north",
        "id": "d",
        "kind": "executor",
        "memoryMb": 1024,
        "rack": "r1",
        "service": "desk",
      },
    ],
    "changed": Array [
      Object {
        "after": Object {
          "accelerators": 8,
          "cores": 4,
          "dataCentre": "north",
          "id": "b",
          "kind": "worker",
          "memoryMb": 1024,
          "rack": "r2",
        },
        "before": Object {
          "accelerators": 8,
          "cores": 8,
          "dataCentre": "north",
          "id": "b",
          "kind": "worker",
          "memoryMb": 1024,
          "rack": "r1",
        },
        "fields": Array [
          Object {
            "after": "r2",
            "before": "r1",
            "field": "rack",
          },
          Object {
            "after": 4,
            "before": 8,
            "field": "cores",
          },
        ],
      },
    ],
    "removed": Array [
      Object {
        "accelerators": 8,
        "cores": 8,
        "dataCentre": "north",
        "id": "a",
        "kind": "worker",
        "memoryMb": 1024,
        "rack": "r1",
      },
    ],
  },
}
`
