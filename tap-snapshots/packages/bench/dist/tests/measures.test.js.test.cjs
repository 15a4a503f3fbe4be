/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/dist/tests/measures.test.js > TAP > a large gang waits no longer than work that cannot be stopped > must match snapshot 1`] = `
[ { boundMs: 31020, jobId: 'gang', waitMs: 89020 } ]
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > fragmentation of twelve free accelerators, four on each VM of a rack 1`] = `
[
  '1x1 vm: {"free":12,"unusable":0,"scattered":0}',
  '1x4 vm: {"free":12,"unusable":0,"scattered":0}',
  '1x8 vm: {"free":12,"unusable":12,"scattered":8}',
  '3x4 rack: {"free":12,"unusable":0,"scattered":0}',
  '2x4 rack: {"free":12,"unusable":4,"scattered":0}',
  '4x4 any: {"free":12,"unusable":12,"scattered":0}'
]
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > measures of the baselines on a short trace of cooperative > fifoBackfill 1`] = `
{
  boundedSlowdown: { mean: 12.763935956113636, p95: 65.14839073969509 },
  bytesAcrossPerSecond: 211.94481728909986,
  cancelled: 10,
  completion: { count: 523, maxMs: 4641055, meanMs: 349295.64053537283, p50Ms: 48799, p95Ms: 1202175, p99Ms: 1675263 },
  completionByClass: {
    batch: { count: 2, maxMs: 4641055, meanMs: 3625524.5, p50Ms: 2611199, p95Ms: 4644863, p99Ms: 4644863 },
    bestEffort: { count: 28, maxMs: 1747166, meanMs: 890239.1071428572, p50Ms: 710655, p95Ms: 1683455, p99Ms: 1747967 },
    interactive: { count: 447, maxMs: 1227500, meanMs: 270703.4004474273, p50Ms: 36223, p95Ms: 1155071, p99Ms: 1202175 },
    standard: { count: 37, maxMs: 1534962, meanMs: 542768.2432432432, p50Ms: 389631, p95Ms: 1436671, p99Ms: 1534975 },
    urgent: { count: 9, maxMs: 1968767, meanMs: 1046336.7777777778, p50Ms: 802303, p95Ms: 1969151, p99Ms: 1969151 }
  },
  failed: 0,
  finished: 523,
  fragmentation: 0.34904437851788833,
  guaranteeDelay: { count: 6, maxMs: 679478, meanMs: 307865.6666666667, p50Ms: 118399, p95Ms: 679935, p99Ms: 679935 },
  headWait: { count: 3, longestBoundMs: 1501609, longestMs: 982842, overBound: 0, worstExcessMs: 0 },
  jainIndex: 0.9962526775842931,
  lostToFaults: 0.013653994932177718,
  lostToPreemption: 0,
  neededBy: { count: 0, feasible: 0, late: 0, lateFeasible: 0 },
  passes: 1200,
  preemptions: 0,
  reclaimDelay: { count: 4, maxMs: 679478, meanMs: 461788.5, p50Ms: 469247, p95Ms: 679935, p99Ms: 679935 },
  refused: 7,
  scatter: 0.21657305549812236,
  unfinished: 0,
  unmetGuarantees: 0,
  unusableShare: 0.11740821388950422
}
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > measures of the baselines on a short trace of cooperative > fifoFirstFit 1`] = `
{
  boundedSlowdown: { mean: 17.27067878479187, p95: 88.25445208316077 },
  bytesAcrossPerSecond: 213.91112496751347,
  cancelled: 10,
  completion: { count: 523, maxMs: 4533278, meanMs: 438764.18546845124, p50Ms: 86335, p95Ms: 1227775, p99Ms: 1678335 },
  completionByClass: {
    batch: { count: 2, maxMs: 4533278, meanMs: 3571636, p50Ms: 2611199, p95Ms: 4534271, p99Ms: 4534271 },
    bestEffort: { count: 28, maxMs: 1936011, meanMs: 989938.75, p50Ms: 1139711, p95Ms: 1847295, p99Ms: 1936383 },
    interactive: { count: 447, maxMs: 1226801, meanMs: 361007.5346756152, p50Ms: 57439, p95Ms: 1127423, p99Ms: 1184767 },
    standard: { count: 37, maxMs: 2090120, meanMs: 634252.4324324324, p50Ms: 476671, p95Ms: 1413119, p99Ms: 2091007 },
    urgent: { count: 9, maxMs: 1597422, meanMs: 1086044.888888889, p50Ms: 1249279, p95Ms: 1597439, p99Ms: 1597439 }
  },
  failed: 0,
  finished: 523,
  fragmentation: 0.31489627877797505,
  guaranteeDelay: { count: 6, maxMs: 851451, meanMs: 344944, p50Ms: 40127, p95Ms: 851455, p99Ms: 851455 },
  headWait: { count: 3, longestBoundMs: 1783590, longestMs: 424585, overBound: 0, worstExcessMs: 0 },
  jainIndex: 0.9916143338712371,
  lostToFaults: 0.010528457870928815,
  lostToPreemption: 0,
  neededBy: { count: 0, feasible: 0, late: 0, lateFeasible: 0 },
  passes: 1189,
  preemptions: 0,
  reclaimDelay: { count: 4, maxMs: 851451, meanMs: 517406, p50Ms: 424703, p95Ms: 851455, p99Ms: 851455 },
  refused: 7,
  scatter: 0.20827793540028233,
  unfinished: 0,
  unmetGuarantees: 0,
  unusableShare: 0.10669269792107573
}
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > measures of the baselines on a short trace of cooperative > strictPriority 1`] = `
{
  boundedSlowdown: { mean: 1.5981430569446886, p95: 4.753187787749559 },
  bytesAcrossPerSecond: 210.46276414424935,
  cancelled: 10,
  completion: { count: 523, maxMs: 4460759, meanMs: 108378.06118546845, p50Ms: 31295, p95Ms: 506879, p99Ms: 1181695 },
  completionByClass: {
    batch: { count: 2, maxMs: 4460759, meanMs: 3535376.5, p50Ms: 2611199, p95Ms: 4464639, p99Ms: 4464639 },
    bestEffort: { count: 28, maxMs: 1173390, meanMs: 452544.78571428574, p50Ms: 434943, p95Ms: 1053695, p99Ms: 1173503 },
    interactive: { count: 447, maxMs: 136876, meanMs: 37031.87472035794, p50Ms: 27295, p95Ms: 102655, p99Ms: 129919 },
    standard: { count: 37, maxMs: 1180954, meanMs: 295981.2972972973, p50Ms: 233599, p95Ms: 914943, p99Ms: 1181695 },
    urgent: { count: 9, maxMs: 2759846, meanMs: 1048351.4444444445, p50Ms: 694271, p95Ms: 2760703, p99Ms: 2760703 }
  },
  failed: 0,
  finished: 523,
  fragmentation: 0.3549320665622024,
  guaranteeDelay: { count: 6, maxMs: 1260257, meanMs: 329044.5, p50Ms: 20, p95Ms: 1260543, p99Ms: 1260543 },
  headWait: { count: 3, longestBoundMs: 1891634, longestMs: 1260237, overBound: 0, worstExcessMs: 0 },
  jainIndex: 0.9993866959953268,
  lostToFaults: 0.012403887809735392,
  lostToPreemption: 0,
  neededBy: { count: 0, feasible: 0, late: 0, lateFeasible: 0 },
  passes: 1186,
  preemptions: 0,
  reclaimDelay: { count: 3, maxMs: 1260257, meanMs: 658069, p50Ms: 679935, p95Ms: 1260543, p99Ms: 1260543 },
  refused: 7,
  scatter: 0.22089730645137573,
  unfinished: 0,
  unmetGuarantees: 0,
  unusableShare: 0.10727960230737069
}
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > measures of the baselines on a short trace of lentesud > fifoBackfill 1`] = `
{
  boundedSlowdown: { mean: 1.944831561651155, p95: 7.218964944736967 },
  bytesAcrossPerSecond: 184.5901825972849,
  cancelled: 4,
  completion: { count: 280, maxMs: 5953309, meanMs: 232139.025, p50Ms: 49311, p95Ms: 937983, p99Ms: 3835903 },
  completionByClass: {
    batch: { count: 5, maxMs: 5953309, meanMs: 3517002.4, p50Ms: 3835903, p95Ms: 5955583, p99Ms: 5955583 },
    bestEffort: { count: 28, maxMs: 1555425, meanMs: 407588.03571428574, p50Ms: 290815, p95Ms: 913919, p99Ms: 1555455 },
    interactive: { count: 183, maxMs: 367628, meanMs: 48644.67213114754, p50Ms: 24879, p95Ms: 152191, p99Ms: 344319 },
    standard: { count: 55, maxMs: 1230067, meanMs: 320263.1818181818, p50Ms: 209919, p95Ms: 991743, p99Ms: 1230847 },
    urgent: { count: 9, maxMs: 1968891, meanMs: 1053888.888888889, p50Ms: 1136639, p95Ms: 1969151, p99Ms: 1969151 }
  },
  failed: 4,
  finished: 280,
  fragmentation: 0.2711942441158926,
  guaranteeDelay: { count: 6, maxMs: 161308, meanMs: 27008.166666666668, p50Ms: 14, p95Ms: 161407, p99Ms: 161407 },
  headWait: { count: 1, longestBoundMs: 1054711, longestMs: 1005108, overBound: 0, worstExcessMs: 0 },
  jainIndex: 0.9995418844088524,
  lostToFaults: 0.023765758345214653,
  lostToPreemption: 0,
  neededBy: { count: 60, feasible: 60, late: 0, lateFeasible: 0 },
  passes: 662,
  preemptions: 0,
  reclaimDelay: { count: 4, maxMs: 161308, meanMs: 40505.25, p50Ms: 14, p95Ms: 161407, p99Ms: 161407 },
  refused: 0,
  scatter: 0.16559434092991038,
  unfinished: 0,
  unmetGuarantees: 0,
  unusableShare: 0.10202393516764721
}
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > measures of the baselines on a short trace of lentesud > fifoFirstFit 1`] = `
{
  boundedSlowdown: { mean: 9.154918111879054, p95: 52.26925599358741 },
  bytesAcrossPerSecond: 192.77089438324953,
  cancelled: 5,
  completion: { count: 279, maxMs: 5953309, meanMs: 422739.60931899643, p50Ms: 118399, p95Ms: 1225727, p99Ms: 3981311 },
  completionByClass: {
    batch: { count: 5, maxMs: 5953309, meanMs: 3586450.6, p50Ms: 3981311, p95Ms: 5955583, p99Ms: 5955583 },
    bestEffort: { count: 28, maxMs: 2193747, meanMs: 563325.3928571428, p50Ms: 363007, p95Ms: 1562623, p99Ms: 2195455 },
    interactive: { count: 182, maxMs: 840558, meanMs: 241268.1813186813, p50Ms: 31519, p95Ms: 791551, p99Ms: 838143 },
    standard: { count: 55, maxMs: 1395337, meanMs: 558290.509090909, p50Ms: 475135, p95Ms: 1281023, p99Ms: 1395711 },
    urgent: { count: 9, maxMs: 1672085, meanMs: 1069133.3333333333, p50Ms: 948223, p95Ms: 1672191, p99Ms: 1672191 }
  },
  failed: 4,
  finished: 279,
  fragmentation: 0.27863109382728896,
  guaranteeDelay: { count: 6, maxMs: 303575, meanMs: 110078.16666666667, p50Ms: 14, p95Ms: 303615, p99Ms: 303615 },
  headWait: { count: 1, longestBoundMs: 1333822, longestMs: 238309, overBound: 0, worstExcessMs: 0 },
  jainIndex: 0.996958837111868,
  lostToFaults: 0.023856717926180646,
  lostToPreemption: 0,
  neededBy: { count: 60, feasible: 60, late: 0, lateFeasible: 0 },
  passes: 655,
  preemptions: 0,
  reclaimDelay: { count: 4, maxMs: 303575, meanMs: 165110.25, p50Ms: 59583, p95Ms: 303615, p99Ms: 303615 },
  refused: 0,
  scatter: 0.17880153805042026,
  unfinished: 0,
  unmetGuarantees: 0,
  unusableShare: 0.11552668235712539
}
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > measures of the baselines on a short trace of lentesud > strictPriority 1`] = `
{
  boundedSlowdown: { mean: 1.4916859076514986, p95: 4.234853608570784 },
  bytesAcrossPerSecond: 185.0731935771433,
  cancelled: 4,
  completion: { count: 280, maxMs: 5953309, meanMs: 225118.23214285713, p50Ms: 46399, p95Ms: 933887, p99Ms: 3643391 },
  completionByClass: {
    batch: { count: 5, maxMs: 5953309, meanMs: 3531567, p50Ms: 3643391, p95Ms: 5955583, p99Ms: 5955583 },
    bestEffort: { count: 28, maxMs: 1621238, meanMs: 410640.21428571426, p50Ms: 308479, p95Ms: 913919, p99Ms: 1622015 },
    interactive: { count: 183, maxMs: 256530, meanMs: 35443.360655737706, p50Ms: 24879, p95Ms: 83455, p99Ms: 181503 },
    standard: { count: 55, maxMs: 1457381, meanMs: 335703.10909090907, p50Ms: 209919, p95Ms: 1100799, p99Ms: 1458175 },
    urgent: { count: 9, maxMs: 1968891, meanMs: 991948.6666666666, p50Ms: 823295, p95Ms: 1969151, p99Ms: 1969151 }
  },
  failed: 4,
  finished: 280,
  fragmentation: 0.2730512618942606,
  guaranteeDelay: { count: 6, maxMs: 161308, meanMs: 26896.333333333332, p50Ms: 14, p95Ms: 161407, p99Ms: 161407 },
  headWait: { count: 1, longestBoundMs: 1232075, longestMs: 1182472, overBound: 0, worstExcessMs: 0 },
  jainIndex: 0.9997549010846382,
  lostToFaults: 0.022756568815082322,
  lostToPreemption: 0,
  neededBy: { count: 60, feasible: 60, late: 0, lateFeasible: 0 },
  passes: 657,
  preemptions: 0,
  reclaimDelay: { count: 3, maxMs: 161308, meanMs: 53778.666666666664, p50Ms: 14, p95Ms: 161407, p99Ms: 161407 },
  refused: 0,
  scatter: 0.17162581667713778,
  unfinished: 0,
  unmetGuarantees: 0,
  unusableShare: 0.10288647857892798
}
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > times and fairness of hand-made values > must match snapshot 1`] = `
{ count: 100, maxMs: 1000, meanMs: 505, p50Ms: 500, p95Ms: 950, p99Ms: 990 }
`

exports[`packages/bench/dist/tests/measures.test.js > TAP > times and fairness of hand-made values > must match snapshot 2`] = `
{ count: 0, maxMs: 0, meanMs: 0, p50Ms: 0, p95Ms: 0, p99Ms: 0 }
`
