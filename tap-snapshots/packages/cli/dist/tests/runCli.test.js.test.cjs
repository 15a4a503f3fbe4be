/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/cli/dist/tests/runCli.test.js > TAP > burn > must match snapshot 1`] = `
exit code 0
--- output
The process has run for 2.0 h; counts reach back no further.
class        objective               good  bad  budget spent  burn 5m  burn 6h  p50 ms  p95 ms  p99 ms  alert
interactive  99.5% in 2000 ms, 30 d  1996    4         40.0%     2.50     0.40     120     480     910  none

--- error
--- requests
GET /v1/admin/burn | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > cancel > must match snapshot 1`] = `
exit code 0
--- output
The job job-1 is being stopped.
--- error
--- requests
POST /v1/admin/jobs/job-1/cancel | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > cancel of an own job that has ended > must match snapshot 1`] = `
exit code 1
--- output
The job job-1 had already ended with the state finished.
--- error
--- requests
POST /v1/jobs/job-1/cancel | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > check > must match snapshot 1`] = `
exit code 0
--- output
No findings.
The exact binding of guarantees was not checked.
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > check with a binding that fails > must match snapshot 1`] = `
exit code 1
--- output
inventory.toml:14 team[0].guarantee[0]: The instance 0 of the guarantee "weavers/pair" does not fit beside the other guarantees. [guaranteeUnbound]
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > check with a register > must match snapshot 1`] = `
exit code 0
--- output
No findings.
The exact binding of guarantees was not checked.
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > check with faults in both files > must match snapshot 1`] = `
exit code 1
--- output
faulty.csv:2 kind: The field is not valid: Invalid option: expected one of "worker"|"executor". [invalidField]
faulty.toml:18 operators: The key "operators" is not known here. [unknownKey]
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > check with findings as JSON > must match snapshot 1`] = `
exit code 1
--- output
{
  "findings": [
    {
      "messageId": "duplicateVm",
      "message": "The VM \\"w1\\" is already listed at duplicate.toml:8.",
      "place": {
        "file": "duplicate.toml",
        "line": 8,
        "path": "rack[0].vms[1]"
      }
    }
  ],
  "bindingChecked": false
}
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > diff as JSON > must match snapshot 1`] = `
exit code 0
--- output
{
  "version": 7,
  "diff": {
    "vms": {
      "added": [],
      "removed": [],
      "changed": []
    },
    "teams": {
      "added": [],
      "removed": [],
      "changed": []
    },
    "operators": {
      "added": [],
      "removed": [],
      "changed": []
    },
    "guarantees": {
      "added": [],
      "removed": [],
      "changed": []
    },
    "drained": {
      "added": [],
      "removed": [
        "w2"
      ],
      "changed": []
    },
    "rules": []
  }
}
--- error
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > diff with a file > must match snapshot 1`] = `
exit code 0
--- output
VMs: 0 added, 0 removed, 2 changed
  ~ w1: cores 8 -> 16
  ~ w2: cores 8 -> 16
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > diff with the configuration in force > must match snapshot 1`] = `
exit code 0
--- output
Compared with version 7:
VMs: 0 added, 0 removed, 2 changed
  ~ w1: cores 8 -> 16
  ~ w2: cores 8 -> 16
--- error
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > drain > must match snapshot 1`] = `
exit code 0
--- output
The VM w1 is drained as of configuration version 8.
--- error
--- requests
POST /v1/admin/vms/w1/drain | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > drain of a VM whose name needs escapes > must match snapshot 1`] = `
exit code 1
--- output
--- error
Refused: The detail.
  status 404, code unknownVm, ran no
--- requests
POST /v1/admin/vms/..%2Fw1/drain | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > entries that cannot be reached > all are closed 1`] = `
exit code 1
--- output
--- error
No entry could be reached, so the request was not run.
  http://closed: connect ECONNREFUSED (address)
  http://closed: connect ECONNREFUSED (address)
  ran no

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > entries that cannot be reached > an answer is lost, no repetition 1`] = `
exit code 1
--- output
--- error
The request was sent, but no whole answer came back, so it is not known whether it ran.
  http://broken: other side closed
  ran unknown

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > entries that cannot be reached > an answer is lost, refused by the next 1`] = `
exit code 1
--- output
--- error
Refused: The detail.
  status 503, code storeUnavailable, ran unknown

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > entries that cannot be reached > requests 1`] = `
Array [
  "GET /v1/admin/config",
  "PUT /v1/admin/config",
  "POST /v1/jobs",
  "---",
  "GET /v1/admin/config",
  "PUT /v1/admin/config",
  "GET /v1/admin/config",
  "POST /v1/jobs",
]
`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > entries that cannot be reached > the first is closed 1`] = `
exit code 0
--- output
VMs: 0 added, 0 removed, 2 changed
  ~ w1: cores 8 -> 16
  ~ w2: cores 8 -> 16
Version 8 is loaded.
--- error

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > export > must match snapshot 1`] = `
exit code 0
--- output
2 lines (34 bytes) are written to out.jsonl. The command verify checks them.
--- error
--- requests
GET /v1/history | Bearer secret | 
--- out.jsonl
{"team":"weavers"}
{"manifest":1}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > export of a team > must match snapshot 1`] = `
exit code 0
--- output
2 lines (34 bytes) are written to out.jsonl. The command verify checks them.
--- error
--- requests
GET /v1/admin/teams/weavers/history | Bearer secret | 
--- out.jsonl
{"team":"weavers"}
{"manifest":1}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > export that breaks off > must match snapshot 1`] = `
exit code 1
--- output
--- error
The answer cannot be used.
  http://entry: the export broke off (other side closed)
--- requests
GET /v1/history | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > export to a directory that is missing > must match snapshot 1`] = `
exit code 1
--- output
--- error
no/out.jsonl: The file cannot be written: ENOENT: no such file or directory, open 'no/out.jsonl.part'. [fileNotWritten]
--- requests
GET /v1/history | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > export without a file > must match snapshot 1`] = `
exit code 2
--- output
--- error
The option --output FILE is required. [outputRequired]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > faulty settings > empty 1`] = `
exit code 2
--- output
--- error
settings.toml entries: A value is required here: expected array, received undefined. [missingKey]
settings.toml token: A value is required here: expected string, received undefined. [missingKey]

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > faulty settings > faulty 1`] = `
exit code 2
--- output
--- error
settings.toml:1 entries[0]: The value is not valid: Invalid URL. [invalidValue]
settings.toml:1 entries[1]: The value is not valid: Invalid URL. [invalidValue]
settings.toml:2 token: The value is not valid: Invalid string: must match pattern /^[\\x21-\\x7e]+$/. [invalidValue]
settings.toml:3 connectTimeoutMs: The value is not valid: Too small: expected number to be >0. [invalidValue]
settings.toml:4 region: The key "region" is not known here. [unknownKey]

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > faulty settings > syntax 1`] = `
exit code 2
--- output
--- error
settings.toml:2:1: The text is not valid TOML: invalid value. [syntax]

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > first load > must match snapshot 1`] = `
exit code 0
--- output
VMs: 2 added, 0 removed, 0 changed
  + w1: worker in north/r1, 16 cores, 1024 MB, 8 accelerators
  + w2: worker in north/r1, 16 cores, 1024 MB, 8 accelerators
Teams: 1 added, 0 removed, 0 changed
  + weavers: weight 1, quota (none)
Guarantees: 1 added, 0 removed, 0 changed
  + weavers/pair: 1 times 2 VMs of 8 accelerators, adjacency rack
Operators: 1 added, 0 removed, 0 changed
  + lead
Version 1 is loaded.
--- error
--- requests
GET /v1/admin/config | Bearer secret | 
PUT /v1/admin/config | Bearer secret | "0" | {"vms":[{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w1","rack":"r1"},{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w2","rack":"r1"}],"teams":[{"id":"weavers","weight":1,"tokenSha256":"1111111111111111111111111111111111111111111111111111111111111111"}],"operators":[{"id":"lead","tokenSha256":"2222222222222222222222222222222222222222222222222222222222222222"}],"guarantees":[{"name":"pair","shape":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"count":1,"team":"weavers"}],"rules":{"completionWeight":0.5,"fragmentationWeight":0.5,"preemptionGraceMs":2000,"queueLengthPerTeam":1000,"slotsPerExecutor":8,"connectionsPerExecutor":64},"drained":[]}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > help > must match snapshot 1`] = `
exit code 0
--- output
persimmonpitch COMMAND [ARGUMENTS] [OPTIONS]

Commands:
  check FILE               checks an inventory file and reports every finding
  diff FILE [OLDER_FILE]   compares a file with the configuration in force, or with an older file
  load FILE                loads an inventory file if no other load came first
  show                     shows the configuration in force
  history                  lists the versions of the configuration
  status                   shows VMs, teams, jobs with reasons, and unmet guarantees
  drain VM                 gives a VM no new work
  cancel JOB               cancels a job
  export                   writes a team's whole history to a file
  verify FILE              checks an exported history
  process-key VM KEY_FILE  derives the key of one process from the file with the deployment key
  burn                     shows objectives, error budgets and burn rates
  submit FILE              submits the job of a TOML file
  job JOB                  shows a job of the own team
  wait JOB                 waits until a job of the own team has ended
  request SERVICE FILE     sends the direct request of a TOML file and prints the answer

Options:
  --settings FILE   settings in TOML: entries, token
  --json            JSON in place of text
  --help            shows this text
  --version         shows the version
  --register FILE   check, diff, load: adds the VMs of an asset register (CSV)
  --output FILE     export: the file to write
  --team TEAM       export: the history of this team, with an operator's token
  --own             cancel: a job of the own team, with the team's token
  --key KEY         submit, request: the request key
  --body-file FILE  submit, request: payload or body from a file
  --if-version N    load: only if this version is in force
  --timeout-ms N    wait: the longest wait, 10 minutes if not given

Exit codes: 0 success, 1 failure or findings, 2 wrong usage or settings.
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > history > must match snapshot 1`] = `
exit code 0
--- output
version  loaded at                 loaded by
      7  1970-01-01T00:00:00.000Z  lead
--- error
--- requests
GET /v1/admin/config/history | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > job that failed > must match snapshot 1`] = `
exit code 1
--- output
job           job-1
team          weavers
request key   festival-12
class         batch
state         failed
submitted at  2023-11-14T22:13:20.000Z
attempts      1
members       w1, w2
ran           unknown
code          vmLost
detail        A member was lost.
result        -
ended at      2023-11-14T22:13:29.000Z
--- error
--- requests
GET /v1/jobs/job-1 | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load based on an older version > must match snapshot 1`] = `
exit code 1
--- output
--- error
The configuration was not loaded: it was compared with version 6, but version 7 is in force now. Run diff, then load again.
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load keeps the drains in force > must match snapshot 1`] = `
exit code 0
--- output
VMs: 0 added, 0 removed, 2 changed
  ~ w1: cores 8 -> 16
  ~ w2: cores 8 -> 16
Version 8 is loaded.
--- error
--- requests
GET /v1/admin/config | Bearer secret | 
PUT /v1/admin/config | Bearer secret | "7" | {"vms":[{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w1","rack":"r1"},{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w2","rack":"r1"}],"teams":[{"id":"weavers","weight":1,"tokenSha256":"1111111111111111111111111111111111111111111111111111111111111111"}],"operators":[{"id":"lead","tokenSha256":"2222222222222222222222222222222222222222222222222222222222222222"}],"guarantees":[{"name":"pair","shape":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"count":1,"team":"weavers"}],"rules":{"completionWeight":0.5,"fragmentationWeight":0.5,"preemptionGraceMs":2000,"queueLengthPerTeam":1000,"slotsPerExecutor":8,"connectionsPerExecutor":64},"drained":["w2"]}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load of what is in force > must match snapshot 1`] = `
exit code 0
--- output
Version 7 is in force already; nothing was loaded.
--- error
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load refused with findings > must match snapshot 1`] = `
exit code 1
--- output
--- error
Refused: The detail.
  status 422, code invalidConfiguration, ran no
guarantees[0]: It does not fit. [guaranteeUnbound]
--- requests
GET /v1/admin/config | Bearer secret | 
PUT /v1/admin/config | Bearer secret | "7" | {"vms":[{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w1","rack":"r1"},{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w2","rack":"r1"}],"teams":[{"id":"weavers","weight":1,"tokenSha256":"1111111111111111111111111111111111111111111111111111111111111111"}],"operators":[{"id":"lead","tokenSha256":"2222222222222222222222222222222222222222222222222222222222222222"}],"guarantees":[{"name":"pair","shape":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"count":1,"team":"weavers"}],"rules":{"completionWeight":0.5,"fragmentationWeight":0.5,"preemptionGraceMs":2000,"queueLengthPerTeam":1000,"slotsPerExecutor":8,"connectionsPerExecutor":64},"drained":["w2"]}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load whose answer is lost > must match snapshot 1`] = `
exit code 1
--- output
--- error
The request was sent, but no whole answer came back, so it is not known whether it ran.
  http://entry: other side closed
  ran unknown
--- requests
GET /v1/admin/config | Bearer secret | 
PUT /v1/admin/config | Bearer secret | "7" | {"vms":[{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w1","rack":"r1"},{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w2","rack":"r1"}],"teams":[{"id":"weavers","weight":1,"tokenSha256":"1111111111111111111111111111111111111111111111111111111111111111"}],"operators":[{"id":"lead","tokenSha256":"2222222222222222222222222222222222222222222222222222222222222222"}],"guarantees":[{"name":"pair","shape":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"count":1,"team":"weavers"}],"rules":{"completionWeight":0.5,"fragmentationWeight":0.5,"preemptionGraceMs":2000,"queueLengthPerTeam":1000,"slotsPerExecutor":8,"connectionsPerExecutor":64},"drained":["w2"]}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load with a conflict > must match snapshot 1`] = `
exit code 1
--- output
--- error
The configuration was not loaded: it was compared with version 7, but version 9 is in force now. Run diff, then load again.
--- requests
GET /v1/admin/config | Bearer secret | 
PUT /v1/admin/config | Bearer secret | "7" | {"vms":[{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w1","rack":"r1"},{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w2","rack":"r1"}],"teams":[{"id":"weavers","weight":1,"tokenSha256":"1111111111111111111111111111111111111111111111111111111111111111"}],"operators":[{"id":"lead","tokenSha256":"2222222222222222222222222222222222222222222222222222222222222222"}],"guarantees":[{"name":"pair","shape":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"count":1,"team":"weavers"}],"rules":{"completionWeight":0.5,"fragmentationWeight":0.5,"preemptionGraceMs":2000,"queueLengthPerTeam":1000,"slotsPerExecutor":8,"connectionsPerExecutor":64},"drained":["w2"]}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load with a conflict that does not name the version > must match snapshot 1`] = `
exit code 1
--- output
--- error
The configuration was not loaded: it was compared with version 7, but version 8 is in force now. Run diff, then load again.
--- requests
GET /v1/admin/config | Bearer secret | 
PUT /v1/admin/config | Bearer secret | "7" | {"vms":[{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w1","rack":"r1"},{"dataCentre":"north","kind":"worker","cores":16,"memoryMb":1024,"accelerators":8,"id":"w2","rack":"r1"}],"teams":[{"id":"weavers","weight":1,"tokenSha256":"1111111111111111111111111111111111111111111111111111111111111111"}],"operators":[{"id":"lead","tokenSha256":"2222222222222222222222222222222222222222222222222222222222222222"}],"guarantees":[{"name":"pair","shape":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"count":1,"team":"weavers"}],"rules":{"completionWeight":0.5,"fragmentationWeight":0.5,"preemptionGraceMs":2000,"queueLengthPerTeam":1000,"slotsPerExecutor":8,"connectionsPerExecutor":64},"drained":["w2"]}
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > load with findings > must match snapshot 1`] = `
exit code 1
--- output
--- error
duplicate.toml:8 rack[0].vms[1]: The VM "w1" is already listed at duplicate.toml:8. [duplicateVm]
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > misplaced options and arguments > must match snapshot 1`] = `
exit code 2
--- output
--- error
The argument "now" is not expected. [extraArgument]
The command "show" does not take the option --own. [optionNotForCommand]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > missing argument > must match snapshot 1`] = `
exit code 2
--- output
--- error
The argument FILE is missing. [missingArgument]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > no command > must match snapshot 1`] = `
exit code 2
--- output
--- error
A command is required; --help lists them. [noCommand]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > option given twice > must match snapshot 1`] = `
exit code 2
--- output
--- error
The options cannot be read: The flag --register can only be set once. [unreadableOptions]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > request > must match snapshot 1`] = `
exit code 0
--- output
glaze: célèste
--- error
--- requests
POST /v1/services/pattern-desk/requests | Bearer secret | {"workClass":"interactive","idempotent":true,"requestKey":"counter-5","timeoutMs":2000,"body":"glaze 5"}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > request with a cut answer > must match snapshot 1`] = `
exit code 1
--- output
--- error
The answer is not complete: its body does not match its length and digest. [incompleteAnswer]
--- requests
POST /v1/services/pattern-desk/requests | Bearer secret | {"workClass":"interactive","idempotent":true,"requestKey":"counter-5","timeoutMs":2000,"body":"glaze 5"}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > request with the answer of another > must match snapshot 1`] = `
exit code 1
--- output
--- error
The answer belongs to the request key "counter-5", not to "counter-6". [answerOfAnother]
--- requests
POST /v1/services/pattern-desk/requests | Bearer secret | {"workClass":"interactive","idempotent":true,"requestKey":"counter-6","timeoutMs":2000,"body":"glaze 5"}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > request without a key > must match snapshot 1`] = `
exit code 1
--- output
--- error
request.toml requestKey: A value is required here: expected string, received undefined. [missingKey]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > settings not named > must match snapshot 1`] = `
exit code 2
--- output
--- error
The option --settings is not valid: expected a value. [invalidOption]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > show > must match snapshot 1`] = `
exit code 0
--- output
Configuration
version  loaded at                 loaded by
      7  2023-11-14T22:13:20.000Z  lead

VMs
VM  kind    service  data centre  rack  cores  memory MB  accelerators  drained
w1  worker  -        north        r1        8       1024             8  no
w2  worker  -        north        r1        8       1024             8  yes

Teams
team     weight  quota
weavers       1  -

Guarantees
team     guarantee  count  VMs  accelerators per VM  adjacency  data centres
weavers  pair           1    2                    8  rack       -

Operators
operator
lead

Rules
rule                    value
completionWeight          0.5
fragmentationWeight       0.5
preemptionGraceMs        2000
queueLengthPerTeam       1000
slotsPerExecutor            8
connectionsPerExecutor     64
--- error
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > show with an answer of another form > must match snapshot 1`] = `
exit code 1
--- output
--- error
The answer cannot be used.
  http://entry: version: Invalid input: expected number, received string; loadedAt: Invalid input: expected number, received undefined; loadedBy: Invalid input: expected string, received undefined; body: Invalid input: expected object, received undefined
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > show with an answer that breaks off > must match snapshot 1`] = `
exit code 1
--- output
--- error
The answer cannot be used.
  http://entry: the answer broke off (other side closed)
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > show with an answer that is not JSON > must match snapshot 1`] = `
exit code 1
--- output
--- error
The answer cannot be used.
  http://entry: status 502 without problem details
--- requests
GET /v1/admin/config | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > status > must match snapshot 1`] = `
exit code 0
--- output
Region
region  holder   epoch  configuration
valley  entry-1      4              7

VMs
VM  condition  accelerators  free  leaving
w1  ready                 8     0  no
w2  draining              8     8  yes

Teams
team     running  queued  accelerators in use
weavers        1       2                    8

Jobs
job    team     state   reason      detail
job-2  weavers  queued  noCapacity  No VM is free.

Unmet guarantees
team     guarantee  instance
weavers  pair              0
--- error
--- requests
GET /v1/admin/status | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > status as JSON > must match snapshot 1`] = `
exit code 0
--- output
{
  "region": "valley",
  "role": {
    "holder": "entry-1",
    "epoch": 4
  },
  "configVersion": 7,
  "vms": [
    {
      "vmId": "w1",
      "condition": "ready",
      "accelerators": 8,
      "freeAccelerators": 0,
      "leaving": false
    },
    {
      "vmId": "w2",
      "condition": "draining",
      "accelerators": 8,
      "freeAccelerators": 8,
      "leaving": true
    }
  ],
  "teams": [
    {
      "team": "weavers",
      "running": 1,
      "queued": 2,
      "acceleratorsInUse": 8
    }
  ],
  "jobs": [
    {
      "jobId": "job-2",
      "team": "weavers",
      "state": "queued",
      "reason": "noCapacity",
      "detail": "No VM is free."
    }
  ],
  "unmetGuarantees": [
    {
      "team": "weavers",
      "name": "pair",
      "instance": 0
    }
  ],
  "breaches": {}
}
--- error
--- requests
GET /v1/admin/status | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > submit > must match snapshot 1`] = `
exit code 0
--- output
job           job-1
team          weavers
request key   festival-12
class         batch
state         queued
submitted at  2023-11-14T22:13:20.000Z
attempts      0
--- error
--- requests
POST /v1/jobs | Bearer secret | {"workClass":"batch","gang":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"declaredRunMs":3600000,"idempotent":false,"checkpointable":false,"requestKey":"k2","payload":"glaze 5"}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > submit in a store outage > must match snapshot 1`] = `
exit code 1
--- output
--- error
Refused: The detail.
  status 503, code storeUnavailable, ran no, retry after 2000 ms
--- requests
POST /v1/jobs | Bearer secret | {"workClass":"batch","gang":{"vms":2,"acceleratorsPerVm":8,"adjacency":"rack","coresPerVm":0,"memoryMbPerVm":0},"declaredRunMs":3600000,"idempotent":false,"checkpointable":false,"requestKey":"festival-12","payload":""}

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > submit of a faulty file > must match snapshot 1`] = `
exit code 1
--- output
--- error
faulty-job.toml:7 gang.vms: The value is not valid: Too small: expected number to be >=1. [invalidValue]
faulty-job.toml:2 declaredRunMs: The value is not valid: expected number, received string. [invalidValue]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > unknown and misplaced options > must match snapshot 1`] = `
exit code 2
--- output
--- error
The option --colour is not known. [unknownOption]
The option --if-version is not valid: expected a whole number. [invalidOption]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > unknown command > must match snapshot 1`] = `
exit code 2
--- output
--- error
The command "lod" is not known; --help lists all commands. [unknownCommand]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > verify > must match snapshot 1`] = `
exit code 1
--- output
history.jsonl:1: {"team":"weavers"} [line]
history.jsonl:2: {"manifest":1} [line]
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > verify of a missing file > must match snapshot 1`] = `
exit code 1
--- output
--- error
no.jsonl: The file cannot be read: ENOENT: no such file or directory, open 'no.jsonl'. [fileNotRead]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > verify without the function > must match snapshot 1`] = `
exit code 1
--- output
--- error
This build does not contain the function behind the command "verify". [notAvailable]
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > version > must match snapshot 1`] = `
exit code 0
--- output
0.0.0
--- error
--- requests


`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > wait > must match snapshot 1`] = `
exit code 0
--- output
job           job-1
team          weavers
request key   festival-12
class         batch
state         finished
submitted at  2023-11-14T22:13:20.000Z
attempts      1
members       w1, w2
ran           yes
code          finished
detail
result        cut
ended at      2023-11-14T22:13:29.000Z
--- error
--- requests
GET /v1/jobs/job-1/wait?timeoutMs=20000 | Bearer secret | 
GET /v1/jobs/job-1/wait?timeoutMs=20000 | Bearer secret | 

`

exports[`packages/cli/dist/tests/runCli.test.js > TAP > wait without an end in time > must match snapshot 1`] = `
exit code 1
--- output
job           job-1
team          weavers
request key   festival-12
class         batch
state         queued
submitted at  2023-11-14T22:13:20.000Z
attempts      0
--- error
--- requests
GET /v1/jobs/job-1/wait?timeoutMs=0 | Bearer secret | 

`
