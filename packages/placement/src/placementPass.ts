import type { GangMember, JobSpec } from "@persimmonpitch/schema/job.js";
import type { ClusterView, VmView } from "./clusterView.js";
import type { PlacementDecisions, StartDecision, WaitExplanation } from "./placementDecisions.js";

interface FreeVm {
    readonly vm: VmView;
    accelerators: number;
}

const findMembers = ({ gang }: JobSpec, free: readonly FreeVm[]): readonly FreeVm[] | undefined => {
    const fitting = free.filter(({ vm, accelerators }) =>
        vm.condition === "ready" && accelerators >= gang.acceleratorsPerVm && vm.freeCores >= gang.coresPerVm
        && vm.freeMemoryMb >= gang.memoryMbPerVm
    );
    return fitting.length < gang.vms ? undefined : fitting.slice(0, gang.vms);
};

/** Places waiting jobs in order of submission on the first VMs that fit. */
export const placementPass = (view: ClusterView): PlacementDecisions => {
    const free = view.vms.map((vm): FreeVm => ({ vm, accelerators: vm.freeAccelerators }));
    const starts: StartDecision[] = [];
    const waiting: WaitExplanation[] = [];
    for (const { jobId, spec } of view.queued) {
        const chosen = findMembers(spec, free);
        if (chosen === undefined) {
            waiting.push({ jobId, reason: "noCapacity", detail: "No set of VMs has enough free accelerators." });
            continue;
        }
        for (const member of chosen) {
            member.accelerators -= spec.gang.acceleratorsPerVm;
        }
        const members = chosen.map((member): GangMember => ({
            vmId: member.vm.vmId,
            accelerators: spec.gang.acceleratorsPerVm,
        }));
        starts.push({ jobId, members });
    }
    return { starts, preemptions: [], refusals: [], waiting, bindings: view.bindings, unmet: [] };
};
