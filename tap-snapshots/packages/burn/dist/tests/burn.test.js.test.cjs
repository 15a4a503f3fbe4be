/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/burn/dist/tests/burn.test.js > TAP > objectives that are refused > must match snapshot 1`] = `
Array [
  Array [
    "Too big: expected number to be <1",
  ],
  Array [
    "Too small: expected number to be >0",
  ],
  Array [
    "Too big: expected number to be <=30",
  ],
  Array [
    "Invalid option: expected one of \\"urgent\\"|\\"interactive\\"|\\"standard\\"|\\"batch\\"|\\"bestEffort\\"",
  ],
  Array [
    "A class of work has more than one objective.",
  ],
]
`

exports[`packages/burn/dist/tests/burn.test.js > TAP > reports > a fault in the last hour pages 1`] = `
The process has run for 6.0 h; counts reach back no further.
class        objective              good  bad  budget spent  burn 5m  burn 1h  burn 6h  burn 3d  p50 ms  p95 ms  p99 ms  alert
interactive  99% in 2000 ms, 30 d   2069   91        421.3%    25.00    25.14     4.22     4.21     150     150     150  page
standard     99% in 10000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
bestEffort   90% in 30000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none

`

exports[`packages/burn/dist/tests/burn.test.js > TAP > reports > a fault that has ended does not page 1`] = `
The process has run for 1.2 h; counts reach back no further.
class        objective              good  bad  budget spent  burn 5m  burn 1h  burn 6h  burn 3d  p50 ms  p95 ms  p99 ms  alert
interactive  99% in 2000 ms, 30 d    330   90       2142.9%     0.00    20.90    21.43    21.43     150     150     150  ticket
standard     99% in 10000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
bestEffort   90% in 30000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none

`

exports[`packages/burn/dist/tests/burn.test.js > TAP > reports > a slow burn opens a ticket 1`] = `
The process has run for 96.0 h; counts reach back no further.
class        objective               good  bad  budget spent  burn 5m  burn 1h  burn 6h  burn 3d  p50 ms  p95 ms  p99 ms  alert
interactive  99% in 2000 ms, 30 d   33869  691        199.9%     4.17     1.98     2.00     2.00     150     150    2007  ticket
standard     99% in 10000 ms, 30 d      0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
bestEffort   90% in 30000 ms, 30 d      0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none

`

exports[`packages/burn/dist/tests/burn.test.js > TAP > reports > cancelled requests do not count 1`] = `
The process has run for 1.0 h; counts reach back no further.
class        objective              good  bad  budget spent  burn 5m  burn 1h  burn 6h  burn 3d  p50 ms  p95 ms  p99 ms  alert
interactive  99% in 2000 ms, 30 d    180    0          0.0%     0.00     0.00     0.00     0.00     150     150     150  none
standard     99% in 10000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
bestEffort   90% in 30000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none

`

exports[`packages/burn/dist/tests/burn.test.js > TAP > reports > counts older than the budget period are gone 1`] = `
The process has run for 768.0 h; counts reach back no further.
class        objective              good  bad  budget spent  burn 5m  burn 1h  burn 6h  burn 3d  p50 ms  p95 ms  p99 ms  alert
interactive  99% in 2000 ms, 30 d      0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
standard     99% in 10000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
bestEffort   90% in 30000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none

`

exports[`packages/burn/dist/tests/burn.test.js > TAP > reports > nothing recorded 1`] = `
The process has run for 0.0 h; counts reach back no further.
class        objective              good  bad  budget spent  burn 5m  burn 1h  burn 6h  burn 3d  p50 ms  p95 ms  p99 ms  alert
interactive  99% in 2000 ms, 30 d      0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
standard     99% in 10000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
bestEffort   90% in 30000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none

`

exports[`packages/burn/dist/tests/burn.test.js > TAP > reports > within the objective 1`] = `
The process has run for 6.0 h; counts reach back no further.
class        objective              good  bad  budget spent  burn 5m  burn 1h  burn 6h  burn 3d  p50 ms  p95 ms  p99 ms  alert
interactive  99% in 2000 ms, 30 d   2150   10         46.3%     0.00     0.28     0.46     0.46     150     150     150  none
standard     99% in 10000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none
bestEffort   90% in 30000 ms, 30 d     0    0          0.0%     0.00     0.00     0.00     0.00       0       0       0  none

`
