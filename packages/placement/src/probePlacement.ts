import type { VmState } from "./clusterState.js";
import type { QueuedJob } from "./clusterView.js";
import type { PassContext } from "./passContext.js";
import { startWithoutGuarantee } from "./passContext.js";
import { covers, memberDemand } from "./resources.js";

/** Whether a job can serve as a probe: if it fails on the quarantined worker, it must be safe to run again elsewhere. */
const canProbe = ({ spec: { idempotent, gang } }: QueuedJob): boolean => idempotent && gang.vms === 1;

const isIdleQuarantined = ({ vm, placed }: VmState): boolean => vm.condition === "quarantined" && placed.length === 0;

/** Starts one waiting job on each idle quarantined worker. Only jobs that did not fit on other workers are used. */
export const placeProbes = (context: PassContext): void => {
    const { cluster, view, decisions, teamUsage } = context;
    const idleQuarantined = cluster.vms.filter(isIdleQuarantined);
    if (idleQuarantined.length === 0) {
        return;
    }
    const candidates = view.queued.filter(job => decisions.isWaiting(job.jobId) && canProbe(job));
    for (const vm of idleQuarantined) {
        const index = candidates.findIndex(job =>
            covers(vm.node.available, memberDemand(job.spec.gang)) && !job.failedOn.includes(vm.vm.vmId)
            && !teamUsage.isOverQuota(job.spec)
        );
        const [probe] = index === -1 ? [] : candidates.splice(index, 1);
        if (probe !== undefined) {
            startWithoutGuarantee(context, probe, [vm], true);
        }
    }
};
