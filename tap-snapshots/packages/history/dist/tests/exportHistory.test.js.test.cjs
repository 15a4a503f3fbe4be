/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/history/dist/tests/exportHistory.test.js > TAP > export > must match snapshot 1`] = `
Array [
  "{\\"team\\":\\"weavers\\",\\"kind\\":\\"request\\",\\"subjectId\\":\\"r1\\",\\"sequence\\":0,\\"event\\":\\"finished\\",\\"at\\":1000,\\"requestKey\\":\\"key-r1\\",\\"detail\\":\\"\\"}\\n",
  "{\\"team\\":\\"weavers\\",\\"kind\\":\\"request\\",\\"subjectId\\":\\"r2\\",\\"sequence\\":0,\\"event\\":\\"finished\\",\\"at\\":1000,\\"requestKey\\":\\"key-r2\\",\\"detail\\":\\"\\"}\\n",
  "{\\"team\\":\\"weavers\\",\\"kind\\":\\"request\\",\\"subjectId\\":\\"r3\\",\\"sequence\\":0,\\"event\\":\\"finished\\",\\"at\\":1000,\\"requestKey\\":\\"key-r3\\",\\"detail\\":\\"\\"}\\n",
  "{\\"team\\":\\"weavers\\",\\"kind\\":\\"job\\",\\"subjectId\\":\\"j1\\",\\"sequence\\":0,\\"event\\":\\"accepted\\",\\"at\\":1000,\\"requestKey\\":\\"key-j1\\",\\"detail\\":\\"\\"}\\n",
  "{\\"team\\":\\"weavers\\",\\"kind\\":\\"job\\",\\"subjectId\\":\\"j1\\",\\"sequence\\":1,\\"event\\":\\"claimed\\",\\"at\\":1001,\\"requestKey\\":\\"key-j1\\",\\"detail\\":\\"\\"}\\n",
  "{\\"team\\":\\"weavers\\",\\"kind\\":\\"job\\",\\"subjectId\\":\\"j1\\",\\"sequence\\":2,\\"event\\":\\"finished\\",\\"at\\":1002,\\"requestKey\\":\\"key-j1\\",\\"ran\\":\\"yes\\",\\"detail\\":\\"\\"}\\n",
  "{\\"manifest\\":{\\"team\\":\\"weavers\\",\\"exportedAt\\":1764000000000,\\"records\\":6,\\"jobs\\":1,\\"requests\\":3,\\"pages\\":2,\\"sha256\\":\\"aaa4b53b347002815c9301e8052771265887cdb5bc4616e81ab9d6074e903588\\"}}\\n",
]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > cut halfway through a line 1`] = `
export.jsonl:3: The line is neither a history record nor a manifest. [invalidLine]
export.jsonl: The export has no manifest, so it is incomplete. [missingManifest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > empty 1`] = `
export.jsonl: The export has no manifest, so it is incomplete. [missingManifest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > event after the end 1`] = `
export.jsonl weavers/job/j1: The event 3 follows the end. [afterEnd]
export.jsonl manifest.records: The manifest counts 6 records, but the export has 7. [wrongCount]
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > event changed 1`] = `
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > export of another team 1`] = `
export.jsonl:1: The record belongs to the team weavers, not to dyers. [otherTeam]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > last event removed 1`] = `
export.jsonl weavers/job/j1: No event ends it. [open]
export.jsonl manifest.records: The manifest counts 6 records, but the export has 5. [wrongCount]
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > line after the manifest 1`] = `
export.jsonl:8: The line follows the manifest. [lineAfterManifest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > line removed from the middle of a job 1`] = `
export.jsonl weavers/job/j1: The event 1 is missing. [gap]
export.jsonl manifest.records: The manifest counts 6 records, but the export has 5. [wrongCount]
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > line repeated 1`] = `
export.jsonl weavers/request/r1: The event 0 occurs more than once. [repeated]
export.jsonl manifest.records: The manifest counts 6 records, but the export has 7. [wrongCount]
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > order changed 1`] = `
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > record of another team 1`] = `
export.jsonl:7: The record belongs to the team weavers-2, not to weavers. [otherTeam]
export.jsonl weavers-2/job/j2: No event ends it. [open]
export.jsonl manifest.records: The manifest counts 6 records, but the export has 7. [wrongCount]
export.jsonl manifest.jobs: The manifest counts 1 jobs, but the export has 2. [wrongCount]
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > request removed 1`] = `
export.jsonl manifest.records: The manifest counts 6 records, but the export has 5. [wrongCount]
export.jsonl manifest.requests: The manifest counts 3 requests, but the export has 2. [wrongCount]
export.jsonl manifest.sha256: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportHistory.test.js > TAP > verification > unchanged 1`] = `

`
