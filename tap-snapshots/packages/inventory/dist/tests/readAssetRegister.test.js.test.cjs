/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/inventory/dist/tests/readAssetRegister.test.js > TAP > registers give VMs or findings with their lines > empty 1`] = `
assets.csv: The register has no header line. [emptyRegister]
`

exports[`packages/inventory/dist/tests/readAssetRegister.test.js > TAP > registers give VMs or findings with their lines > findings on several lines 1`] = `
assets.csv:2 cores: The field is not valid: expected number, received string. [invalidField]
assets.csv:4 id: The field is not valid: Invalid string: must match pattern /^[A-Za-z0-9][A-Za-z0-9._-]*$/. [invalidField]
assets.csv:4 kind: The field is not valid: Invalid option: expected one of "worker"|"executor". [invalidField]
assets.csv:4 memoryMb: The field is not valid: expected number, received undefined. [invalidField]
assets.csv:4 accelerators: The field is not valid: expected number, received string. [invalidField]
assets.csv:5: The line has 2 fields, but the header has 8. [fieldCount]
assets.csv:6 accelerators: The field is not valid: expected int, received number. [invalidField]
`

exports[`packages/inventory/dist/tests/readAssetRegister.test.js > TAP > registers give VMs or findings with their lines > missing and repeated columns 1`] = `
assets.csv:1: The column "id" is named more than once. [repeatedColumn]
assets.csv:1: The column "dataCentre" is missing. [missingColumn]
assets.csv:1: The column "accelerators" is missing. [missingColumn]
`

exports[`packages/inventory/dist/tests/readAssetRegister.test.js > TAP > registers give VMs or findings with their lines > open quote 1`] = `
assets.csv:2: A quoted field is not closed, or text follows its closing quote. [openQuote]
`

exports[`packages/inventory/dist/tests/readAssetRegister.test.js > TAP > registers give VMs or findings with their lines > text after a quote 1`] = `
assets.csv:2: A quoted field is not closed, or text follows its closing quote. [openQuote]
`

exports[`packages/inventory/dist/tests/readAssetRegister.test.js > TAP > registers give VMs or findings with their lines > valid, other headings and columns 1`] = `
Object {
  "places": Array [
    Object {
      "file": "assets.csv",
      "line": 2,
    },
    Object {
      "file": "assets.csv",
      "line": 5,
    },
  ],
  "vms": Array [
    Object {
      "accelerators": 8,
      "cores": 128,
      "dataCentre": "north",
      "id": "w1",
      "kind": "worker",
      "memoryMb": 524288,
      "rack": "r1",
    },
    Object {
      "accelerators": 0,
      "cores": 8,
      "dataCentre": "north",
      "id": "e1",
      "kind": "executor",
      "memoryMb": 1024.5,
      "rack": "r1",
      "service": "desk",
    },
  ],
}
`

exports[`packages/inventory/dist/tests/readAssetRegister.test.js > TAP > the VMs of a register are added to those of the file > must match snapshot 1`] = `
Object {
  "body": Object {
    "drained": Array [
      "w1",
    ],
    "guarantees": Array [],
    "operators": Array [],
    "rules": Object {
      "completionWeight": 0.5,
      "connectionsPerExecutor": 64,
      "fragmentationWeight": 0.5,
      "preemptionGraceMs": 2000,
      "queueLengthPerTeam": 1000,
      "slotsPerExecutor": 8,
    },
    "teams": Array [],
    "vms": Array [
      Object {
        "accelerators": 8,
        "cores": 8,
        "dataCentre": "north",
        "id": "w1",
        "kind": "worker",
        "memoryMb": 1024,
        "rack": "r1",
      },
    ],
  },
  "places": Object {
    "drained": Array [
      Object {
        "file": "inventory.toml",
        "line": 1,
        "path": "drained[0]",
      },
    ],
    "guarantees": Array [],
    "operators": Array [],
    "rules": Object {
      "file": "inventory.toml",
      "path": "rules",
    },
    "teams": Array [],
    "vms": Array [
      Object {
        "file": "assets.csv",
        "line": 2,
      },
    ],
    "whole": Object {
      "file": "inventory.toml",
    },
  },
  "setsDrained": true,
}
`
