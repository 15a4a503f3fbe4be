/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/entry/dist/tests/agentRegistry.test.js > TAP > what a registry knows of one agent > must match snapshot 1`] = `
Object {
  "a new instance connects": Object {
    "changes": Array [
      "two: b,c",
    ],
    "connected": true,
    "instance": "two",
    "lastReportAt": 1000,
    "news": Array [
      Array [
        true,
        true,
        Array [],
      ],
    ],
    "tasks": Array [],
  },
  "a peer tells of a connection": Object {
    "changes": Array [
      "two: d",
    ],
    "connected": true,
    "instance": "two",
    "lastReportAt": 800,
    "news": Array [],
    "tasks": Array [
      "d",
    ],
  },
  "a peer tells of a lost connection": Object {
    "changes": Array [],
    "connected": false,
    "instance": "two",
    "lastReportAt": 1000,
    "news": Array [],
    "tasks": Array [],
  },
  "a peer tells of it too": Object {
    "changes": Array [],
    "connected": true,
    "instance": "one",
    "lastReportAt": 1000,
    "news": Array [],
    "tasks": Array [
      "b",
      "c",
    ],
  },
  "connects": Object {
    "changes": Array [
      "one: ",
    ],
    "connected": true,
    "instance": "one",
    "lastReportAt": 1000,
    "news": Array [
      Array [
        true,
        true,
        Array [],
      ],
    ],
    "tasks": Array [],
  },
  "connects again": Object {
    "changes": Array [
      "one: b,c",
    ],
    "connected": true,
    "instance": "one",
    "lastReportAt": 1000,
    "news": Array [
      Array [
        true,
        true,
        Array [],
      ],
    ],
    "tasks": Array [
      "b",
      "c",
    ],
  },
  "reports a change": Object {
    "changes": Array [
      "one: c,a",
    ],
    "connected": true,
    "instance": "one",
    "lastReportAt": 1000,
    "news": Array [
      Array [
        true,
        false,
        Array [
          "a",
        ],
      ],
    ],
    "tasks": Array [
      "b",
      "c",
    ],
  },
  "reports on the older connection": Object {
    "changes": Array [],
    "connected": true,
    "instance": "one",
    "lastReportAt": 1000,
    "news": Array [],
    "tasks": Array [
      "b",
      "c",
    ],
  },
  "reports two tasks": Object {
    "changes": Array [
      "one: a,b",
    ],
    "connected": true,
    "instance": "one",
    "lastReportAt": 1000,
    "news": Array [
      Array [
        true,
        true,
        Array [],
      ],
    ],
    "tasks": Array [
      "a",
      "b",
    ],
  },
  "the connection ends": Object {
    "changes": Array [
      "two: ",
    ],
    "connected": false,
    "instance": "two",
    "lastReportAt": 1000,
    "news": Array [
      Array [
        false,
        false,
        Array [],
      ],
    ],
    "tasks": Array [],
  },
  "the older connection ends": Object {
    "changes": Array [],
    "connected": true,
    "instance": "one",
    "lastReportAt": 1000,
    "news": Array [],
    "tasks": Array [
      "b",
      "c",
    ],
  },
  "the peer is lost": Object {
    "changes": Array [
      "two: ",
    ],
    "connected": false,
    "instance": "two",
    "lastReportAt": 800,
    "news": Array [],
    "tasks": Array [
      "d",
    ],
  },
}
`
