import type { Finding, Place } from "@persimmonpitch/findings/finding.js";
import { findingOf } from "@persimmonpitch/findings/finding.js";
import type { MessageData, MessageTable } from "@persimmonpitch/findings/messageTable.js";

export type InventoryMessageId =
    | "duplicateVm"
    | "duplicateTeam"
    | "duplicateOperator"
    | "duplicateGuarantee"
    | "duplicateDrain"
    | "sharedToken"
    | "noOperator"
    | "unknownTeam"
    | "unknownDataCentre"
    | "unknownDrainedVm"
    | "rackInTwoDataCentres"
    | "executorWithoutService"
    | "workerWithService"
    | "shapeContradictsAdjacency"
    | "shapeNeverFits"
    | "vmWithoutAccelerators"
    | "guaranteesExceedTotal"
    | "guaranteesExceedDataCentre"
    | "guaranteeUnbound"
    | "drainBreaksGuarantee"
    | "quotaBelowGuarantees"
    | "weightsSumToZero";

const messages: MessageTable<InventoryMessageId> = {
    duplicateVm: "The VM \"{id}\" is already listed at {first}.",
    duplicateTeam: "The team \"{id}\" is already listed at {first}.",
    duplicateOperator: "The operator \"{id}\" is already listed at {first}.",
    duplicateGuarantee: "The guarantee \"{id}\" is already listed at {first}.",
    duplicateDrain: "The drained VM \"{id}\" is already listed at {first}.",
    sharedToken: "\"{id}\" has the same token as the entry at {first}, so one could act as the other.",
    noOperator: "At least one operator is required, or no further configuration could be loaded.",
    unknownTeam: "The guarantee \"{name}\" is given to the team \"{team}\", which is not listed.",
    unknownDataCentre: "The guarantee \"{name}\" names the data centre \"{dataCentre}\", which has no worker.",
    unknownDrainedVm: "The drained VM \"{id}\" is not listed.",
    rackInTwoDataCentres:
        "The rack \"{rack}\" of this VM is in the data centre \"{other}\" at {first}, but here in \"{here}\".",
    executorWithoutService: "The executor \"{id}\" names no service.",
    workerWithService: "The worker \"{id}\" names a service, but only executors answer direct requests.",
    shapeContradictsAdjacency:
        "The guarantee \"{name}\" asks for {vms} VMs with the adjacency \"vm\", but every member of a gang has a VM of its own.",
    shapeNeverFits:
        "The guarantee \"{name}\" needs {needed} VMs ({shape}) with the adjacency \"{adjacency}\", but at most {found} fit.",
    vmWithoutAccelerators: "The VM \"{id}\" has no accelerators, but the guarantee \"{name}\" needs it.",
    guaranteesExceedTotal: "The guarantees promise {promised} accelerators, but there are {present}.",
    guaranteesExceedDataCentre:
        "The guarantees within the data centre \"{dataCentre}\" promise {promised} accelerators, but there are {present}.",
    guaranteeUnbound: "The instance {instance} of the guarantee \"{name}\" does not fit beside the other guarantees.",
    drainBreaksGuarantee:
        "With the drained VMs left out, the instance {instance} of the guarantee \"{name}\" does not fit.",
    quotaBelowGuarantees:
        "The quota of the team \"{team}\" is {quota} accelerators, but its guarantees promise {promised}.",
    weightsSumToZero: "The weights of completion time and fragmentation must not both be 0.",
};

/** Makes a finding of the inventory's checks. */
export const report = (id: InventoryMessageId, place: Place | undefined, data: MessageData = {}): Finding =>
    findingOf(messages, id, place ?? {}, data);
