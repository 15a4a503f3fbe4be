import { ClusterState } from "./clusterState.js";
import type { ClusterView, QueuedJob } from "./clusterView.js";
import { DecisionRecorder } from "./decisionRecorder.js";
import { placeGuaranteedJobs } from "./guaranteedPlacement.js";
import { GuaranteeTable } from "./guaranteeTable.js";
import type { PassContext } from "./passContext.js";
import type { PlacementDecisions } from "./placementDecisions.js";
import type { PlacementOptions } from "./placementOptions.js";
import { DEFAULT_PLACEMENT_OPTIONS } from "./placementOptions.js";
import { placeProbes } from "./probePlacement.js";
import { buildTeamQueues, QueueOrder } from "./queueOrder.js";
import { InventoryFeasibility, refuseIfFailsEverywhere, refuseIfInfeasible } from "./refusals.js";
import { RunTimeEstimates } from "./runTimeEstimates.js";
import { TeamUsage } from "./teamUsage.js";
import { UnguaranteedPlacement } from "./unguaranteedPlacement.js";

const createContext = (view: ClusterView, options: PlacementOptions): PassContext => {
    const cluster = new ClusterState(view);
    return {
        view,
        options,
        cluster,
        guaranteeTable: new GuaranteeTable(
            cluster,
            options.guarantees ? view : { ...view, guarantees: [], bindings: [] },
        ),
        teamUsage: new TeamUsage(view),
        estimates: new RunTimeEstimates(view.runTimes, options.runTimeCorrection, view.now),
        decisions: new DecisionRecorder(),
    };
};

/** Refuses the jobs that can never run, and returns the others. */
const refuseInfeasibleJobs = (context: PassContext): readonly QueuedJob[] => {
    const inventoryFeasibility = new InventoryFeasibility(context.view);
    return context.view.queued.filter(job =>
        !refuseIfFailsEverywhere(context, job) && !refuseIfInfeasible(context, inventoryFeasibility, job)
    );
};

/** Decides on all waiting jobs: first those that fit guarantees, then the others in queue order. */
export const placementPass = (
    view: ClusterView,
    options: Partial<PlacementOptions> = {},
): PlacementDecisions => {
    const context = createContext(view, { ...DEFAULT_PLACEMENT_OPTIONS, ...options });
    const { guaranteeTable, decisions } = context;
    const queues = buildTeamQueues(context, refuseInfeasibleJobs(context));
    const placedJobIds = new Set<string>();
    for (const [team, instances] of guaranteeTable.byTeam) {
        const jobs = (queues.get(team) ?? []).map(({ job }) => job);
        for (const jobId of placeGuaranteedJobs(context, jobs, instances)) {
            placedJobIds.add(jobId);
        }
    }
    new UnguaranteedPlacement(context).placeAll(new QueueOrder(context, queues), jobId => placedJobIds.has(jobId));
    if (context.options.probes) {
        placeProbes(context);
    }
    return {
        starts: decisions.starts,
        preemptions: decisions.preemptions,
        refusals: decisions.refusals,
        waiting: decisions.waiting(),
        bindings: guaranteeTable.bindings(),
        unmetGuarantees: guaranteeTable.unmet,
    };
};
