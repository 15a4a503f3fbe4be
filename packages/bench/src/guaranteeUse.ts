import { covers } from "./replayJob.js";
import type { ReplayState } from "./replayState.js";
import type { TraceJob } from "./traceSchema.js";

/** Whether the job is urgent and its team has a guaranteed instance for it that it does not use. */
export const isWithinGuarantee = (state: ReplayState, { spec }: TraceJob): boolean => {
    if (spec.workClass !== "urgent") {
        return false;
    }
    const guaranteed = state.trace.deployment.guarantees
        .filter(guarantee => guarantee.team === spec.team && covers(guarantee, spec.gang))
        .reduce((sum, { count }) => sum + count, 0);
    const urgentInUse = [...state.guaranteed].filter(job => job.trace.spec.team === spec.team);
    return urgentInUse.length + unstoppableInCells(state, spec.team) < guaranteed;
};

/** Instances that the team itself uses for work that is not urgent and cannot be stopped. */
const unstoppableInCells = ({ bindings, jobs }: ReplayState, team: string): number =>
    bindings.filter(binding => {
        const job = binding.team === team ? jobs.get(binding.jobId ?? "") : undefined;
        const spec = job?.trace.spec;
        return spec !== undefined && spec.workClass !== "urgent" && !spec.idempotent && !spec.checkpointable;
    }).length;
