/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > a team's export > lines 1`] = `
{"job":{"payload":"p","steps":[{"count":2,"demand":{"milliCores":0,"memoryMb":0,"accelerators":0},"declaredMs":0,"after":[],"isGang":false,"isTight":false,"isSpeculative":false,"hasCheckpoints":false,"isLongRunning":false,"usesIdleCores":false}],"jobId":"a","queue":"q","team":"t","acceptedAt":5},"outcome":"completed","tasks":{"0.0.0":{"run":2,"failures":1,"isDone":true,"checkpoint":"c"},"0.0.1":{"run":2,"failures":1,"isDone":true,"checkpoint":"c"}}}
{"job":{"payload":"p","steps":[{"count":2,"demand":{"milliCores":0,"memoryMb":0,"accelerators":0},"declaredMs":0,"after":[],"isGang":false,"isTight":false,"isSpeculative":false,"hasCheckpoints":false,"isLongRunning":false,"usesIdleCores":false}],"jobId":"c","queue":"q","team":"t","acceptedAt":5},"cancelledAt":9,"outcome":"open","tasks":{}}
{"job":{"payload":"p","steps":[{"count":2,"demand":{"milliCores":0,"memoryMb":0,"accelerators":0},"declaredMs":0,"after":[],"isGang":false,"isTight":false,"isSpeculative":false,"hasCheckpoints":false,"isLongRunning":false,"usesIdleCores":false}],"jobId":"d","queue":"q","team":"t","acceptedAt":5},"outcome":"open","tasks":{}}
{"manifest":{"team":"t","exportedAt":1764000000000,"jobs":3,"cancelled":1,"tasks":2,"sha256":"cfb040ebc6f44f8858835b6bbb10a201b34e5733ae0b136aa4005a13a8403853"}}

`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > a changed job 1`] = `
export:4: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > a job left out 1`] = `
export:3: The manifest counts 3 jobs, but the export has 2. [wrongCount]
export:3: The manifest counts 2 tasks, but the export has 0. [wrongCount]
export:3: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > a line after the manifest 1`] = `
export:5: The line follows the manifest. [lineAfterManifest]
`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > a line of another form 1`] = `
export:1: The line is neither a job nor a manifest. [invalidLine]
export:5: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > a repeated job 1`] = `
export:2: The job a occurs more than once. [repeated]
export:5: The manifest counts 3 jobs, but the export has 4. [wrongCount]
export:5: The manifest counts 2 tasks, but the export has 4. [wrongCount]
export:5: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > another team 1`] = `
export:1: The job belongs to the team u, not to t. [otherTeam]
export:4: The digest of the lines differs from the manifest. [wrongDigest]
`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > no manifest 1`] = `
export: The export has no manifest, so it is incomplete. [missingManifest]
`

exports[`packages/history/dist/tests/exportStepJobs.test.js > TAP > findings > nothing 1`] = `
export: The export has no manifest, so it is incomplete. [missingManifest]
`
