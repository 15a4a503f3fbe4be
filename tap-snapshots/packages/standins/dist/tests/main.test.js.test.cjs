/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > help 1`] = `
Object {
  "exitCode": 0,
  "killedBy": null,
  "stderr": "",
  "stdout": String(
    
      Small stand-ins of the platform's services for tests, the demo and the benchmarks.
    
      Usage
        $ persimmonpitch-standins [--settings FILE]
    
      Starts stand-ins of the platform's table, object store, workers and executors on loopback,
      and prints one line with name and address for each.
    
      Options
        --settings FILE  TOML file with ports and numbers of workers and executors
        --version        Print the version
        --help           Print this text
    
      Exit codes
        0  shut down after SIGTERM or SIGINT
        1  failed, for example because a port is in use
        2  wrong usage or settings
    
    
  ),
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > missing file 1`] = `
Object {
  "exitCode": 2,
  "killedBy": null,
  "stderr": "/nonexistent/standins.toml: The file cannot be read: ENOENT: no such file or directory, open '/nonexistent/standins.toml'. [unreadable]\\n",
  "stdout": "",
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > no settings 1`] = `
Object {
  "exitCode": 0,
  "killedBy": null,
  "stderr": "",
  "stdout": String(
    table http://127.0.0.1:PORT
    objectStore http://127.0.0.1:PORT
    
  ),
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > port in use 1`] = `
Object {
  "exitCode": 1,
  "killedBy": null,
  "stderr": "The stand-ins failed: listen EADDRINUSE: address already in use 127.0.0.1:TAKEN.\\n",
  "stdout": "",
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > unexpected argument 1`] = `
Object {
  "exitCode": 2,
  "killedBy": null,
  "stderr": "Unexpected argument: now.\\n",
  "stdout": "",
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > unknown flag 1`] = `
Object {
  "exitCode": 2,
  "killedBy": null,
  "stderr": String(
    Unknown flag
    --unknown
    
  ),
  "stdout": "",
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > version 1`] = `
Object {
  "exitCode": 0,
  "killedBy": null,
  "stderr": "",
  "stdout": "0.1.0\\n",
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > workers and executors 1`] = `
Object {
  "exitCode": 0,
  "killedBy": null,
  "stderr": "",
  "stdout": String(
    table http://127.0.0.1:PORT
    objectStore http://127.0.0.1:PORT
    worker-1 http://127.0.0.1:PORT
    worker-2 http://127.0.0.1:PORT
    executor-1 http://127.0.0.1:PORT
    
  ),
}
`

exports[`packages/standins/dist/tests/main.test.js > TAP > the binary > wrong settings 1`] = `
Object {
  "exitCode": 2,
  "killedBy": null,
  "stderr": String(
    FILE:1 tablePort: The value is not valid: Too big: expected number to be <=65535. [invalidValue]
    FILE:4 workers.count: The value is not valid: expected number, received string. [invalidValue]
    FILE:2 port: The key "port" is not known here. [unknownKey]
    
  ),
  "stdout": "",
}
`
