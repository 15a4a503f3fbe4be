/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > a body without a file is reported by key path > must match snapshot 1`] = `
At least one operator is required, or no further configuration could be loaded. [noOperator]
guarantees[0]: The guarantee "t1/g" is given to the team "t1", which is not listed. [unknownTeam]
drained[0]: The drained VM "z" is not listed. [unknownDrainedVm]
guarantees[0]: The guarantee "t1/g" needs 1 VMs (1 accelerators, 0 cores and 0 MB each) with the adjacency "any", but at most 0 fit. [shapeNeverFits]
The guarantees promise 1 accelerators, but there are 0. [guaranteesExceedTotal]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > drains in force are not held against other changes > in force:  1`] = `
inventory.toml:21 team[0].guarantee[0]: With the drained VMs left out, the instance 0 of the guarantee "t1/pair" does not fit. [drainBreaksGuarantee]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > drains in force are not held against other changes > in force: b 1`] = `

`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > drains in force are not held against other changes > in force: c 1`] = `
inventory.toml:21 team[0].guarantee[0]: With the drained VMs left out, the instance 0 of the guarantee "t1/pair" does not fit. [drainBreaksGuarantee]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > count without sense 1`] = `
inventory.toml:23 team[0].guarantee[0].count: The value is not valid: Too big: expected number to be <=10000. [invalidValue]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > does not fit beside the others 1`] = `
inventory.toml:24 team[0].guarantee[1]: The instance 0 of the guarantee "t1/pair" does not fit beside the other guarantees. [guaranteeUnbound]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > drain that breaks a guarantee 1`] = `
inventory.toml:21 team[0].guarantee[0]: With the drained VMs left out, the instance 0 of the guarantee "t1/pair" does not fit. [drainBreaksGuarantee]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > duplicate entries 1`] = `
inventory.toml:10 rack[0].vms[1]: The VM "a" is already listed at inventory.toml:9. [duplicateVm]
inventory.toml:23 team[1]: The team "t1" is already listed at inventory.toml:11. [duplicateTeam]
inventory.toml:18 team[0].guarantee[1]: The guarantee "t1/g" is already listed at inventory.toml:14. [duplicateGuarantee]
inventory.toml:1 drained[1]: The drained VM "a" is already listed at inventory.toml:1. [duplicateDrain]
inventory.toml:23 team[1]: "t1" has the same token as the entry at inventory.toml:11, so one could act as the other. [sharedToken]
inventory.toml:14 team[0].guarantee[0]: With the drained VMs left out, the instance 0 of the guarantee "t1/g" does not fit. [drainBreaksGuarantee]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > key of the whole behind a table 1`] = `
inventory.toml:12 operator[0].drained: The key "drained" is not known here. [unknownKey]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > kinds and services 1`] = `
inventory.toml:9 rack[0].vms[0]: The worker "a" names a service, but only executors answer direct requests. [workerWithService]
inventory.toml:17 rack[1].vms[0]: The executor "b" names no service. [executorWithoutService]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > more than a data centre has 1`] = `
inventory.toml:20 team[0].guarantee[0]: The guarantees within the data centre "south" promise 16 accelerators, but there are 8. [guaranteesExceedDataCentre]
inventory.toml:20 team[0].guarantee[0]: The instance 1 of the guarantee "t1/g" does not fit beside the other guarantees. [guaranteeUnbound]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > more than there is in total 1`] = `
inventory.toml: The guarantees promise 32 accelerators, but there are 24. [guaranteesExceedTotal]
inventory.toml:20 team[0].guarantee[0]: The instance 3 of the guarantee "t1/g" does not fit beside the other guarantees. [guaranteeUnbound]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > no operator 1`] = `
inventory.toml: At least one operator is required, or no further configuration could be loaded. [noOperator]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > quota below the guarantees 1`] = `
inventory.toml:17 team[0]: The quota of the team "t1" is 15 accelerators, but its guarantees promise 16. [quotaBelowGuarantees]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > rack in two data centres 1`] = `
inventory.toml:16 rack[1].vms[0]: The rack "r1" of this VM is in the data centre "north" at inventory.toml:8, but here in "south". [rackInTwoDataCentres]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > schema findings 1`] = `
inventory.toml:2 rack[0].id: The value is not valid: Invalid string: must match pattern /^[A-Za-z0-9][A-Za-z0-9._-]*$/. [invalidValue]
inventory.toml:7 rack[0].accelerators: The value is not valid: Too small: expected number to be >=0. [invalidValue]
inventory.toml:9 rack[0].vms: The value is not valid: Too small: expected array to have >=1 items. [invalidValue]
inventory.toml:8 rack[0].colour: The key "colour" is not known here. [unknownKey]
inventory.toml:11 team[0].id: The value is not valid: Too small: expected string to have >=1 characters. [invalidValue]
inventory.toml:11 team[0].id: The value is not valid: Invalid string: must match pattern /^[A-Za-z0-9][A-Za-z0-9._-]*$/. [invalidValue]
inventory.toml:12 team[0].tokenSha256: The value is not valid: Invalid string: must match pattern /^[0-9a-f]{64}$/. [invalidValue]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > shape without room 1`] = `
inventory.toml:20 team[0].guarantee[0]: The guarantee "t1/cores" needs 1 VMs (1 accelerators, 9 cores and 0 MB each) with the adjacency "any", but at most 0 fit. [shapeNeverFits]
inventory.toml:24 team[0].guarantee[1]: The guarantee "t1/rack" needs 3 VMs (1 accelerators, 0 cores and 0 MB each) with the adjacency "rack", but at most 2 fit. [shapeNeverFits]
inventory.toml:28 team[0].guarantee[2]: The guarantee "t1/vm" asks for 2 VMs with the adjacency "vm", but every member of a gang has a VM of its own. [shapeContradictsAdjacency]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > unknown references 1`] = `
inventory.toml:21 team[0].guarantee[0]: The guarantee "t1/g" names the data centre "east", which has no worker. [unknownDataCentre]
inventory.toml:1 drained[0]: The drained VM "z" is not listed. [unknownDrainedVm]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > valid 1`] = `

`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > VM without accelerators that a guarantee needs 1`] = `
inventory.toml:20 team[0].guarantee[0]: The guarantee "t1/pair" needs 2 VMs (8 accelerators, 0 cores and 0 MB each) with the adjacency "rack", but at most 1 fit. [shapeNeverFits]
inventory.toml:16 rack[1].vms[0]: The VM "b" has no accelerators, but the guarantee "t1/pair" needs it. [vmWithoutAccelerators]
inventory.toml: The guarantees promise 16 accelerators, but there are 8. [guaranteesExceedTotal]
`

exports[`packages/inventory/dist/tests/checkInventory.test.js > TAP > findings of inventories > weights of 0 1`] = `
inventory.toml:20 rules: The weights of completion time and fragmentation must not both be 0. [weightsSumToZero]
`
