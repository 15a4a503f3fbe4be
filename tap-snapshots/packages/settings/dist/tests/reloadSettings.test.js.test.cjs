/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/settings/dist/tests/reloadSettings.test.js > TAP > changed settings are applied, deferred with a reason or left alone > must match snapshot 1`] = `
[
    {
        "name": "unchanged",
        "kept": {
            "address": "10.0.0.1:80",
            "bounds": {
                "leaseMs": 1000
            }
        },
        "applied": [],
        "lines": [
            "level=info event=settings.read"
        ]
    },
    {
        "name": "bounds",
        "kept": {
            "address": "10.0.0.1:80",
            "bounds": {
                "leaseMs": 2000
            }
        },
        "applied": [
            2000
        ],
        "lines": [
            "level=info event=settings.applied key=bounds",
            "level=info event=settings.read"
        ]
    },
    {
        "name": "address",
        "kept": {
            "address": "10.0.0.2:80",
            "bounds": {
                "leaseMs": 1000
            }
        },
        "applied": [],
        "lines": [
            "level=warn event=settings.deferred key=address effect=nextStart reason=\\"The process listens there.\\"",
            "level=info event=settings.read"
        ]
    },
    {
        "name": "malformed",
        "kept": {
            "address": "10.0.0.1:80",
            "bounds": {
                "leaseMs": 1000
            }
        },
        "applied": [],
        "lines": [
            "level=error event=settings.malformed detail=\\"\\""
        ]
    }
]
`
