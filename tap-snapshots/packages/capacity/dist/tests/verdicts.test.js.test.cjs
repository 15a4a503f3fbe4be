/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/capacity/dist/tests/verdicts.test.js > TAP > figures at the size to design for > must match snapshot 1`] = `
role                                                     figure                                                        value      unit                  budget  verdict     measured by
agent on a worker, idle                                  processor time                                                0.5        % of a core           1.5     within      agentIdle
agent on a worker, idle                                  memory                                                        70         MB                    256     within      agentIdle
agent on a worker, idle                                  sent                                                          30         B/s                   14,000  within      agentIdle
agent on a worker, idle                                  received                                                      20         B/s                   14,000  within      agentIdle
agent on a worker, 4.84 tasks, each reported every 10 s  processor time                                                0.9839     % of a core           1.5     within      agentBusy
agent on a worker, 4.84 tasks, each reported every 10 s  memory                                                        74.84      MB                    256     within      agentBusy
agent on a worker, 4.84 tasks, each reported every 10 s  sent                                                          88.39      B/s                   14,000  within      agentBusy
agent on a worker, 4.84 tasks, each reported every 10 s  received                                                      20         B/s                   14,000  within      agentBusy
agent beside an executor, idle, one entry                processor time                                                0.5        % of a core           1.5     within      directRequests
agent beside an executor, idle, one entry                memory                                                        70         MB                    256     within      directRequests
agent beside an executor, idle, one entry                sent                                                          80         B/s                   14,000  within      directRequests
agent beside an executor, idle, one entry                received                                                      60         B/s                   14,000  within      directRequests
agent beside an executor, 5 requests/s of 1 KiB          processor time                                                1.5        % of a core           1.5     within      directRequests
agent beside an executor, 5 requests/s of 1 KiB          memory                                                        75         MB                    256     within      directRequests
agent beside an executor, 5 requests/s of 1 KiB          sent                                                          5,080      B/s                   14,000  within      directRequests
agent beside an executor, 5 requests/s of 1 KiB          received                                                      10,060     B/s                   14,000  within      directRequests
entry today, 11 agents, idle                             processor time                                                1.11       % of a core           1.5     within      entryAgents
entry today, 11 agents, idle                             memory                                                        91.1       MB                    256     within      entryAgents
entry today, 11 agents, idle                             sent                                                          1,050      B/s                   14,000  within      entryAgents
entry today, 11 agents, idle                             received                                                      2,100      B/s                   14,000  within      entryAgents
holder today, 11 workers, idle                           processor time                                                1.11       % of a core           1.5     within      entryAgents
holder today, 11 workers, idle                           memory                                                        91.1       MB                    256     within      entryAgents
holder today, 11 workers, idle                           sent                                                          511        B/s                   14,000  within      entryAgents
holder today, 11 workers, idle                           received                                                      3,200      B/s                   14,000  within      entryAgents
entry, 186 of 930 agents, idle                           processor time                                                2.86       % of a core           1.5     over        region
entry, 186 of 930 agents, idle                           memory                                                        183        MB                    256     within      region
entry, 186 of 930 agents, idle                           sent                                                          9,800      B/s                   14,000  within      region
entry, 186 of 930 agents, idle                           received                                                      94,000     B/s                   14,000  over        region
entry, 186 of 930 agents, 5 long tasks a VM              processor time                                                3.79       % of a core           1.5     over        region
entry, 186 of 930 agents, 5 long tasks a VM              memory                                                        276        MB                    256     over        region
entry, 186 of 930 agents, 5 long tasks a VM              sent                                                          19,100     B/s                   14,000  over        region
entry, 186 of 930 agents, 5 long tasks a VM              received                                                      187,000    B/s                   14,000  over        region
holder with 186 of 930 agents, idle                      processor time                                                -0.86      % of a core           1.5     unresolved  region
holder with 186 of 930 agents, idle                      memory                                                        183        MB                    256     within      region
holder with 186 of 930 agents, idle                      sent                                                          1,430      B/s                   14,000  within      region
holder with 186 of 930 agents, idle                      received                                                      187,000    B/s                   14,000  over        region
holder with 186 of 930 agents, 5 long tasks a VM         processor time                                                19.6       % of a core           1.5     over        region
holder with 186 of 930 agents, 5 long tasks a VM         memory                                                        276        MB                    256     over        region
holder with 186 of 930 agents, 5 long tasks a VM         sent                                                          2,360      B/s                   14,000  within      region
holder with 186 of 930 agents, 5 long tasks a VM         received                                                      373,000    B/s                   14,000  over        region
entry without agents, configuration of 930 VMs           processor time                                                1.93       % of a core           1.5     over        configurationSize
entry without agents, configuration of 930 VMs           memory                                                        99.3       MB                    256     within      configurationSize
entry without agents, configuration of 930 VMs           sent                                                          500        B/s                   14,000  within      configurationSize
entry without agents, configuration of 930 VMs           received                                                      94,000     B/s                   14,000  over        configurationSize
holder, 930 workers, 4,500 tasks                         one scheduling turn                                           10.3       ms of processor time  20      within      schedulingTurn
holder, 930 workers, 4,500 tasks                         turns, one a second                                           1.03       % of a core           1.5     within      schedulingTurn
holder, 930 workers, 4,500 tasks                         turns, as often as reports can wake them                      17.08      % of a core           1.5     over        schedulingTurn
holder, 930 workers, 4,500 tasks                         books of jobs and agents                                      1.914      MB                    256     within      schedulingTurn
controller, 930 executors, 1,000 waiting jobs            one pass, 99th percentile                                     10.3       ms                    20      within      dispatchPasses
controller, 930 executors, nothing waits                 passes, one every 250 ms                                      0.744      % of a core           1.5     within      dispatchPasses
new holder, 930 agents, 4,500 tasks                      all agents fenced after the role is taken                     1,030      ms                    3,400   within      region
new holder, 930 agents, 4,500 tasks                      urgent job started after the role is taken                    1,960      ms                    3,400   within      region
new holder, 930 agents, 4,500 tasks                      urgent job started after the loss of the holder               9,460      ms                    3,400   over        region
configuration, 186 agents an entry                       last agent told after                                         286        ms                    4,000   within      configSpread
configuration, 186 agents an entry                       messages to agents, 310 changes a day                         0.6674     1/s                           no budget   configSpread
configuration, 186 agents an entry                       bytes to agents, 310 changes a day                            66.74      B/s                   14,000  within      configSpread
reconnection, 186 agents                                 peak connections when a data centre comes back                186        1/s                           no budget   reconnection
reconnection, 186 agents                                 peak connections at all survivors after the loss of an entry  93         1/s                           no budget   reconnection
reconnection, 186 agents                                 processor time of the survivors                               940        ms                            no budget   reconnection
platform, table                                          writes of 540 jobs a day, 5 entries, 2 holders, 310 changes   1.022      1/s                   300     within      tableJobs, tableIdle
platform, table                                          reads and scans of 540 jobs a day, 5 entries, 2 holders       11.42      1/s                   2,000   within      tableJobs, tableIdle
platform, table                                          rows of jobs in a year                                        1,183,000  rows                          no budget   tableJobs
platform, table                                          bytes of jobs in a year, one VM each                          375.9      MB                            no budget   tableJobs
platform, table                                          bytes of 310 configurations of 930 VMs, a day                 55.08      MB                            no budget   configurationSize
history export                                           heap for 200,000 records                                      1.2        MB                    256     within      historyExport
command line                                             memory of one run                                             80         MB                    256     within      commandLine
command line                                             processor time of one run                                     300        ms                            no budget   commandLine
`

exports[`packages/capacity/dist/tests/verdicts.test.js > TAP > formats > must match snapshot 1`] = `
agentIdle (per unit)  1    10   100    slope  intercept  residual
agent core %          0.5  5    50     0.5    0          0
agent resident MB     70   700  7,000  70     0          0
agent sent B/s        30   300  3,000  30     0          0
agent received B/s    20   200  2,000  20     0          0
`

exports[`packages/capacity/dist/tests/verdicts.test.js > TAP > formats > must match snapshot 2`] = `
| role | figure | value | unit | budget | verdict | measured by |
| --- | --- | --- | --- | --- | --- | --- |
| agent on a worker, idle | processor time | 0.5 | % of a core | 1.5 | within | agentIdle |
| agent on a worker, idle | memory | 70 | MB | 256 | within | agentIdle |
| agent on a worker, idle | sent | 30 | B/s | 14,000 | within | agentIdle |
`
