/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/dist/tests/charts.test.js > TAP > an on/off table > must match snapshot 1`] = `
idea              measure    with  without  better seeds  worse seeds
backfill  mean completion  1.00 s   2.00 s             4            1
`

exports[`packages/bench/dist/tests/charts.test.js > TAP > the report and the charts of a short trace > must match snapshot 1`] = `
lentesud: 11 VMs, 172 jobs in 1080 s

measure                                fifoFirstFit  fifoBackfill
jobs finished                                   166           166
jobs failed                                       3             3
jobs refused                                      0             0
jobs cancelled                                    3             3
jobs unfinished                                   0             0
completion, mean                           361.84 s      198.12 s
  lower bound, true run times known        167.51 s      167.51 s
completion, p50                            193.28 s       55.04 s
completion, p95                            972.29 s      714.75 s
completion, p99                           2928.64 s     2848.77 s
urgent, mean                              1337.61 s     1240.31 s
urgent, p50                               1206.27 s     1206.27 s
urgent, p95                               2928.64 s     2848.77 s
urgent, p99                               2928.64 s     2848.77 s
interactive, mean                          207.57 s       36.14 s
interactive, p50                            53.02 s       27.86 s
interactive, p95                           893.95 s       81.66 s
interactive, p99                           906.24 s       90.81 s
standard, mean                             405.89 s      267.44 s
standard, p50                              371.20 s      201.09 s
standard, p95                              876.54 s      645.12 s
standard, p99                              972.29 s      764.93 s
batch, mean                               3926.48 s     4122.43 s
batch, p50                                3928.06 s     4122.62 s
batch, p95                                3928.06 s     4122.62 s
batch, p99                                3928.06 s     4122.62 s
bestEffort, mean                           650.45 s      423.80 s
bestEffort, p50                            590.85 s      313.86 s
bestEffort, p95                           1682.43 s     1301.50 s
bestEffort, p99                           1682.43 s     1301.50 s
bounded slowdown, mean                         7.77          1.39
bounded slowdown, p95                         37.69          3.91
fragmentation of free accelerators           20.56%        18.85%
  part due to scatter                        12.46%        11.45%
  unusable share of all accelerators         10.97%         8.98%
guarantee delay, p99                       141.44 s      141.44 s
guarantee delay, longest                   141.31 s      141.31 s
reclaims                                          4             4
reclaim delay, longest                     141.31 s      141.31 s
guarantees unmet during faults                    0             0
preemptions                                       0             0
time lost to preemption                       0.00%         0.00%
time lost to faults                           2.20%         2.20%
gangs of 16 at the head, longest wait      609.26 s      660.22 s
  bound of that wait                       964.60 s      807.38 s
  largest excess over a bound                0.00 s        0.00 s
needed-by jobs                                   38            38
  feasible                                       38            38
  late                                            0             0
  late and feasible, without faults               0             0
Jain's index over teams                        1.00          1.00
bytes/s between data centres                    184           176
placement passes                                433           429

target                                           fifoFirstFit   bound        fifoBackfill   bound
fragmentation, 0.5 of FIFO first fit                   20.56%  10.28%  fail        18.85%  10.28%  fail
late needed-by jobs that were feasible                      0       0  pass             0       0  pass
reclaim, longest, grace plus 1 s                     141.31 s  3.00 s  fail      141.31 s  3.00 s  fail
head-of-queue waits of gangs of 16 over bound               0       0  pass             0       0  pass
accelerator time lost to preemption and restart         2.20%   3.00%  pass         2.20%   3.00%  pass
`
