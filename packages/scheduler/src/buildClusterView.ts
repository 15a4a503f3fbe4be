import type {
    ClusterView,
    GuaranteeBinding,
    PlacedJob,
    QueuedJob,
    VmCondition,
    VmView,
} from "@persimmonpitch/placement/clusterView.js";
import type { Configuration, InventoryVm } from "@persimmonpitch/schema/configuration.js";
import type { FencedAgents } from "./fencedAgents.js";
import type { RoleContext } from "./roleContext.js";

interface ResourceUsage {
    accelerators: number;
    cores: number;
    memoryMb: number;
}

const conditionOf = (
    context: RoleContext,
    configuration: Configuration,
    fencedAgents: FencedAgents,
    vmId: string,
): VmCondition => {
    const agent = context.gateway.workerAgent(vmId);
    if (agent?.connected !== true || !fencedAgents.isFenced(agent)) {
        return "unknown";
    }
    if (agent.leaving || configuration.body.drained.includes(vmId)) {
        return "draining";
    }
    return context.workerHealth.isQuarantined(vmId) ? "quarantined" : "ready";
};

const usageByVm = (context: RoleContext, fencedAgents: FencedAgents): ReadonlyMap<string, ResourceUsage> => {
    const usage = new Map<string, ResourceUsage>();
    const addUsage = (vmId: string, accelerators: number, cores: number, memoryMb: number) => {
        const used = usage.get(vmId) ?? { accelerators: 0, cores: 0, memoryMb: 0 };
        used.accelerators += accelerators;
        used.cores += cores;
        used.memoryMb += memoryMb;
        usage.set(vmId, used);
    };
    for (const { members, stored } of context.activeJobs.all()) {
        const { coresPerVm, memoryMbPerVm } = stored.record.spec.gang;
        members?.forEach(({ vmId, accelerators }) => {
            addUsage(vmId, accelerators, coresPerVm, memoryMbPerVm);
        });
    }
    for (const agent of context.gateway.workerAgents()) {
        fencedAgents.orphanedTasks(agent).forEach(({ accelerators, cores, memoryMb }) => {
            addUsage(agent.identity.vmId, accelerators, cores, memoryMb);
        });
    }
    return usage;
};

const vmViewOf = (vm: InventoryVm, condition: VmCondition, used: ResourceUsage | undefined): VmView => ({
    vmId: vm.id,
    rack: vm.rack,
    dataCentre: vm.dataCentre,
    condition,
    accelerators: vm.accelerators,
    freeAccelerators: Math.max(0, vm.accelerators - (used?.accelerators ?? 0)),
    cores: vm.cores,
    freeCores: Math.max(0, vm.cores - (used?.cores ?? 0)),
    memoryMb: vm.memoryMb,
    freeMemoryMb: Math.max(0, vm.memoryMb - (used?.memoryMb ?? 0)),
});

/** Builds the input of a placement pass. */
export const buildClusterView = (
    context: RoleContext,
    configuration: Configuration,
    fencedAgents: FencedAgents,
    bindings: readonly GuaranteeBinding[],
): ClusterView => {
    const { body } = configuration;
    const usage = usageByVm(context, fencedAgents);
    const placed: PlacedJob[] = [];
    const queued: QueuedJob[] = [];
    for (const { stored, members, startedAt, stopReason, notBefore, savedProgress } of context.activeJobs.all()) {
        const { jobId, spec, submittedAt, failedOn } = stored.record;
        if (members !== undefined) {
            placed.push({ jobId, spec, members, startedAt, stopping: stopReason !== undefined });
        }
        else if (notBefore <= context.clock.now() && stopReason === undefined) {
            queued.push({ jobId, spec, submittedAt, failedOn, savedProgress });
        }
    }
    return {
        now: context.clock.wallTime(),
        vms: body.vms
            .filter(({ kind }) => kind === "worker")
            .map(vm => vmViewOf(vm, conditionOf(context, configuration, fencedAgents, vm.id), usage.get(vm.id))),
        placed,
        queued: queued.sort((a, b) => a.submittedAt - b.submittedAt),
        guarantees: body.guarantees,
        bindings,
        teams: body.teams,
        rules: body.rules,
        runTimes: context.runTimes,
    };
};
