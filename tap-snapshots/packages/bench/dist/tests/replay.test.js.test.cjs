/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles a job that finishes > must match snapshot 1`] = `
{
  heldSeconds: 100.02,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 100020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 0,
  lostToPreemptionSeconds: 0
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles a job that finishes within the grace > must match snapshot 1`] = `
{
  heldSeconds: 200.04,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 100020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 99000,
      endedAt: 199020,
      firstRunAt: 99020,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 0,
  lostToPreemptionSeconds: 0
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles a lost VM: checkpoint each 10 min, from the start, and not idempotent > must match snapshot 1`] = `
{
  heldSeconds: 5706.04,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 2102020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: true,
      wasUnmet: false
    },
    {
      acceptedAt: 0,
      endedAt: 2702020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: true,
      wasUnmet: false
    },
    {
      acceptedAt: 0,
      endedAt: 902000,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'c',
      preemptions: 0,
      state: 'failed',
      wasHitByFault: true,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 2106,
  lostToPreemptionSeconds: 0
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles a store outage: idempotent jobs start, others and new ones wait > must match snapshot 1`] = `
{
  heldSeconds: 9101.82,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 100020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 1000,
      endedAt: 200070,
      firstRunAt: 100070,
      hadToWait: true,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 2000,
      endedAt: 400020,
      firstRunAt: 300020,
      hadToWait: true,
      isWithinGuarantee: false,
      jobId: 'c',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: true,
      wasUnmet: false
    },
    {
      acceptedAt: 300000,
      endedAt: 400020,
      firstRunAt: 300020,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'd',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 0,
  lostToPreemptionSeconds: 0
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles a worker that fails every task, and a job that fails on every worker > must match snapshot 1`] = `
{
  heldSeconds: 125.12,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 105040,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: true,
      wasUnmet: false
    },
    {
      acceptedAt: 0,
      endedAt: 5020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'failed',
      wasHitByFault: true,
      wasUnmet: false
    },
    {
      acceptedAt: 0,
      endedAt: 15060,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'c',
      preemptions: 0,
      state: 'refused',
      wasHitByFault: true,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 25.1,
  lostToPreemptionSeconds: 0
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles cancellation while waiting, while running and after the end > must match snapshot 1`] = `
{
  heldSeconds: 516.02,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 52000,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 0,
      state: 'cancelled',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 0,
      endedAt: 20000,
      firstRunAt: undefined,
      hadToWait: true,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'cancelled',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 30000,
      endedAt: 130020,
      firstRunAt: 30020,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'c',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 0,
  lostToPreemptionSeconds: 0
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles preemption with a checkpoint > must match snapshot 1`] = `
{
  heldSeconds: 202.06,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 102040,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 1,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 40000,
      endedAt: 140020,
      firstRunAt: 40020,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 0,
  lostToPreemptionSeconds: 2.02
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles preemption without a checkpoint > must match snapshot 1`] = `
{
  heldSeconds: 242.04,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 142020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'a',
      preemptions: 1,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 40000,
      endedAt: 140020,
      firstRunAt: 40020,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 0,
  lostToPreemptionSeconds: 42
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay handles urgent jobs within and beyond the guarantee of the team > must match snapshot 1`] = `
{
  heldSeconds: 3200.64,
  jobs: [
    {
      acceptedAt: 0,
      endedAt: 100020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: true,
      jobId: 'a',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    },
    {
      acceptedAt: 0,
      endedAt: 100020,
      firstRunAt: 20,
      hadToWait: false,
      isWithinGuarantee: false,
      jobId: 'b',
      preemptions: 0,
      state: 'finished',
      wasHitByFault: false,
      wasUnmet: false
    }
  ],
  lostToFaultsSeconds: 0,
  lostToPreemptionSeconds: 0
}
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on a gang over two racks > must match snapshot 1`] = `
ReplayError: job a needs one rack and was spread over 2
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on a job that runs already > must match snapshot 1`] = `
ReplayError: job a was started but does not wait
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on a lost VM > must match snapshot 1`] = `
ReplayError: job a was started on w0, which is unknown
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on an unknown job > must match snapshot 1`] = `
ReplayError: there is no job b
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on an unknown VM > must match snapshot 1`] = `
ReplayError: there is no VM none
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on more processors than there are > must match snapshot 1`] = `
ReplayError: job a was started on w0, which has no room for it
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on part of a gang > must match snapshot 1`] = `
ReplayError: job a was started on 1 VMs, not all different, or not the 2 it needs
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on preemption of work that cannot be stopped > must match snapshot 1`] = `
ReplayError: job a was preempted and is neither idempotent nor checkpointable
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on refusal of a running job > must match snapshot 1`] = `
ReplayError: job a was refused but does not wait
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on too few accelerators > must match snapshot 1`] = `
ReplayError: job a was given 4 accelerators on w0
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on two jobs on the same accelerators > must match snapshot 1`] = `
ReplayError: job b was started on w0, which has no room for it
`

exports[`packages/bench/dist/tests/replay.test.js > TAP > the replay throws on two members on one VM > must match snapshot 1`] = `
ReplayError: job a was started on 2 VMs, not all different, or not the 2 it needs
`
