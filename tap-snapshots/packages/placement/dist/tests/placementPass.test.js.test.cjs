/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a binding over work that cannot be stopped, and silence when none is left > must match snapshot 1`] = `
bind weavers/0 to vm0:8
unmet weavers/promised/1
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a binding that stays on a lost VM, and one that moves without need > must match snapshot 1`] = `
bind weavers/0 to vm1:8
bind weavers/1 to vm3:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a counter render behind batches, and lost order of classes > must match snapshot 1`] = `
wait render: noCapacity. VMs are reserved for the job and are expected to come free in 300 s.
wait batch: noCapacity. The gang needs VMs (count 1, adjacency any) with 1 free accelerators each; none are free.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a further preemption while stopping jobs already free enough > must match snapshot 1`] = `
wait owner: waitingForPreemption. The job has its VMs; other jobs on them are being stopped.
bind weavers/0 to vm0:4 used by owner
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a gang spread over data centres although it needs one > must match snapshot 1`] = `
start gang on vm4:8 vm5:8 vm6:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a gang spread over racks although it needs one rack > must match snapshot 1`] = `
start gang on vm2:8 vm3:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a job close to its needed-by time behind others of its class > must match snapshot 1`] = `
start pressing on vm0:8
wait first: noCapacity. The gang needs VMs (count 1, adjacency any) with 8 free accelerators each; none are free.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a large gang starved by backfill that ends too late > must match snapshot 1`] = `
start short on vm1:2
start saved on vm1:2
wait gang: noCapacity. VMs are reserved for the job and are expected to come free in 3300 s.
wait long: reservedForLargerJob. The free VMs are reserved for job gang, which this job would delay.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a large gang that waits for work that can be stopped > must match snapshot 1`] = `
preempt small for gang
preempt render for gang
wait gang: waitingForPreemption. The job has its VMs; other jobs on them are being stopped.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a large guarantee left unbound because small ones hold its place > must match snapshot 1`] = `
bind weavers/0 to vm0:8
bind dyers/0 to vm1:4
bind dyers/1 to vm1:4
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a render that stops work on which far more accelerator time was spent than the render needs > must match snapshot 1`] = `
wait render: noCapacity. VMs are reserved for the job and are expected to come free in 300 s.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a start on a VM without the cores or memory > must match snapshot 1`] = `
start needy on vm2:1
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against a team beyond its quota > must match snapshot 1`] = `
start within on vm0:4
wait beyond: quotaReached. The team holds 8 accelerators of its quota of 8.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against borrowing bound cells while unbound ones are free > must match snapshot 1`] = `
start other on vm1:8
bind weavers/0 to vm0:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against guarantees that stay in force when the benchmark turns them off > must match snapshot 1`] = `
start labels on vm0:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against jobs that can never run and wait for ever > must match snapshot 1`] = `
start unlucky on vm2:8
refuse wide: neverFits. The inventory has no VMs (count 1, adjacency any) with 9 accelerators, 0 cores and 0 MB each.
refuse many: neverFits. The inventory has no VMs (count 3, adjacency rack) with 8 accelerators, 0 cores and 0 MB each.
refuse sameVm: neverFits. Every member runs on a VM of its own, so 2 members cannot have adjacency vm.
refuse quota: neverFits. The gang needs 8 accelerators, which is more than the team's quota of 4.
refuse faulty: failsEverywhere. The job failed on 3 workers on which other jobs succeed: vm0, vm1, vm2.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against long work without checkpoints that borrows cells and loses all of it to a reclaim > must match snapshot 1`] = `
start short on vm0:8
wait long: noCapacity. The gang needs VMs (count 1, adjacency any) with 8 free accelerators each; none are free.
bind weavers/0 to vm0:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against long work without checkpoints that waits for ever for cells that are bound to no guarantee > must match snapshot 1`] = `
start long on vm0:8
bind weavers/0 to vm0:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against more than a probe on a quarantined worker, and a probe that must not run twice > must match snapshot 1`] = `
start probe on vm0:1
wait labels: noCapacity. The work cannot be stopped, so it needs VMs (count 1, adjacency any) with 1 free accelerators each outside the cells bound to guarantees; none are free.
wait next: noCapacity. The gang needs VMs (count 1, adjacency any) with 1 free accelerators each; none are free.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against one team that takes everything because it asked first > must match snapshot 1`] = `
start dyers0 on vm0:4
start weavers on vm0:4
wait dyers1: noCapacity. The gang needs VMs (count 1, adjacency any) with 4 free accelerators each; none are free.
wait dyers2: noCapacity. The gang needs VMs (count 1, adjacency any) with 4 free accelerators each; none are free.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against reclaim that stops more work, or costlier work, than it needs > must match snapshot 1`] = `
preempt saved for owner
wait owner: waitingForPreemption. The job has its VMs; other jobs on them are being stopped.
bind weavers/0 to vm0:4 used by owner
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against small work that breaks into a whole VM while a broken one has room > must match snapshot 1`] = `
start small on vm2:2
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against urgent work of a team that never starts behind stoppable work of the team in its own cells > must match snapshot 1`] = `
preempt batch for urgent
wait urgent: waitingForPreemption. The job has its VMs; other jobs on them are being stopped.
bind weavers/0 to vm0:8 used by urgent
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against urgent work that takes the cells of urgent work of its team > must match snapshot 1`] = `
wait second: noCapacity. The gang needs VMs (count 1, adjacency any) with 8 free accelerators each; none are free.
bind weavers/0 to vm0:8 used by first
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against urgent work that waits behind a claim of its team whose cells are still coming free > must match snapshot 1`] = `
wait urgent: waitingForPreemption. The job has its VMs; other jobs on them are being stopped.
wait batch: fairShare. The team holds 8 accelerators; its fair share is 4.
bind weavers/0 to vm0:8 used by urgent
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against work that cannot be stopped in the cells of another team > must match snapshot 1`] = `
wait labels: noCapacity. The work cannot be stopped, so it needs VMs (count 1, adjacency any) with 8 free accelerators each outside the cells bound to guarantees; none are free.
bind weavers/0 to vm0:8
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against work that is stopped again and again for short jobs > must match snapshot 1`] = `
preempt old for render
wait render: waitingForPreemption. The job has its VMs; other jobs on them are being stopped.
`

exports[`packages/placement/dist/tests/placementPass.test.js > TAP > guards against work that is stopped for urgent work of its team although the instance can move to free VMs > must match snapshot 1`] = `
start urgent on vm1:8
bind weavers/0 to vm1:8 used by urgent
`
