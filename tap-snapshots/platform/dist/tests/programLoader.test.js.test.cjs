/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`platform/dist/tests/programLoader.test.js > TAP > a program runs with a usable, a missing and an unusable code cache > must match snapshot 1`] = `
{
    "no cache": {
        "status": 3,
        "stdout": "program.bundle.cjs object\\n",
        "stderr": ""
    },
    "writing the cache": {
        "status": 3,
        "stdout": "program.bundle.cjs object\\n",
        "stderr": ""
    },
    "with the cache": {
        "status": 3,
        "stdout": "program.bundle.cjs object\\n",
        "stderr": ""
    },
    "other flags than the cache's": {
        "status": 3,
        "stdout": "program.bundle.cjs object\\n",
        "stderr": "level=warn event=codeCache.rejected file=FOLDER/program.cache\\n"
    },
    "a cache that cannot be read": {
        "status": 3,
        "stdout": "program.bundle.cjs object\\n",
        "stderr": "level=warn event=codeCache.rejected file=FOLDER/program.cache\\n"
    }
}
`
