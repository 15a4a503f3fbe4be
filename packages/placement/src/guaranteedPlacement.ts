import type { JobSpec } from "@persimmonpitch/schema/job.js";
import { pipe } from "fp-ts/lib/function.js";
import * as N from "fp-ts/lib/number.js";
import * as Ord from "fp-ts/lib/Ord.js";
import type { PlacedJobState, VmState } from "./clusterState.js";
import { isReady, unboundCapacity, unboundFreeResources } from "./clusterState.js";
import type { QueuedJob } from "./clusterView.js";
import { fitGang } from "./gangFit.js";
import type { GuaranteedInstance } from "./guaranteedInstance.js";
import { entitlementOn, fittingCells, stricterAdjacency } from "./guaranteedInstance.js";
import { gangAccelerators, isPreemptible } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";
import { preemptAndAllocate, startWithoutGuarantee } from "./passContext.js";
import { placementCost } from "./placementCost.js";
import type { MutableResources, Resources } from "./resources.js";
import { addResources, covers, memberDemand } from "./resources.js";
import { canBePreempted, selectVictims, workLost } from "./victimSelection.js";

/** A job that fits an instance of its team, whether or not the instance is in use. */
interface EligibleJob {
    readonly job: QueuedJob;
    /** Accelerators of the job as a fraction of those of the smallest instance that it fits. */
    readonly utilization: number;
}

interface ReclaimPlan {
    readonly instance: GuaranteedInstance;
    readonly vms: readonly VmState[];
    readonly victims: readonly PlacedJobState[];
    readonly lostWork: number;
}

/** An instance that an urgent job can take over from another job of the owning team. */
interface Takeover {
    readonly instance: GuaranteedInstance;
    readonly currentJob: PlacedJobState;
}

/** An instance assigned in an earlier pass to a job that still waits for the cells to be freed. */
interface PendingAllocation {
    readonly job: QueuedJob;
    readonly instance: GuaranteedInstance;
}

/** A job that uses at most this fraction of an instance is placed outside guaranteed cells first. */
const LOW_UTILIZATION = 0.5;

/** Instances compared to find the one whose reclaim loses the least work. */
const MAX_RECLAIM_PLANS = 8;

const isUrgent = ({ workClass }: JobSpec): boolean => workClass === "urgent";

// Sorting is stable, so jobs of equal utilization keep the order of the queue.
const highestUtilizationFirst: Ord.Ord<EligibleJob> = pipe(
    N.Ord,
    Ord.reverse,
    Ord.contramap(({ utilization }: EligibleJob) => utilization),
);

const anyCell = (): boolean => true;

const utilizationOf = (job: QueuedJob, { guarantee: { shape } }: GuaranteedInstance): number =>
    gangAccelerators(job.spec.gang) / Math.max(1, gangAccelerators(shape));

/** Whether the job fits an instance of its team, whether or not the instance is in use. */
export const fitsGuarantee = ({ guaranteeTable }: PassContext, { spec }: QueuedJob): boolean =>
    (guaranteeTable.byTeam.get(spec.team) ?? []).some(instance => fittingCells(spec, instance, anyCell) !== undefined);

/** Unused instances that the job fits, in descending order of utilization. */
const fittingInstances = (
    job: QueuedJob,
    instances: readonly GuaranteedInstance[],
): readonly GuaranteedInstance[] =>
    instances
        .filter(instance => instance.jobId === undefined && fittingCells(job.spec, instance, anyCell) !== undefined)
        .sort((left, right) => utilizationOf(job, right) - utilizationOf(job, left));

const startInInstance = (
    { guaranteeTable, cluster, teamUsage, decisions }: PassContext,
    job: QueuedJob,
    instance: GuaranteedInstance,
    vms: readonly VmState[],
): void => {
    const demand = memberDemand(job.spec.gang);
    for (const vm of vms) {
        cluster.allocate(vm, demand);
    }
    guaranteeTable.assignJob(instance, job.jobId, vms, demand);
    teamUsage.addJob(job.spec);
    decisions.start(job, vms);
};

const startInCells = (
    context: PassContext,
    job: QueuedJob,
    instance: GuaranteedInstance,
    demand: Resources,
): boolean => {
    const vms = fittingCells(job.spec, instance, ({ vm, node }) => isReady(vm) && covers(node.available, demand));
    if (vms === undefined) {
        return false;
    }
    startInInstance(context, job, instance, vms);
    return true;
};

/** Capacity that an instance may be bound to on a VM; the cells that it is bound to now count as unbound. */
const bindableCapacity = ({ guarantee, cells }: GuaranteedInstance, vm: VmState): MutableResources => {
    const capacity = unboundCapacity(vm);
    if (cells.includes(vm)) {
        addResources(capacity, entitlementOn(guarantee.shape, vm.vm));
    }
    return capacity;
};

/** Starts the job on free VMs outside the cells of the instance, and binds the instance to these VMs. */
const rebindAndStart = (
    context: PassContext,
    job: QueuedJob,
    instance: GuaranteedInstance,
    demand: Resources,
): boolean => {
    const { cluster, guaranteeTable } = context;
    const { shape, dataCentres } = instance.guarantee;
    const nodes = fitGang(cluster.capacityIndex, {
        vms: shape.vms,
        demand,
        adjacency: stricterAdjacency(shape.adjacency, job.spec.gang.adjacency),
        accepts: node => {
            const entitlement = entitlementOn(shape, node.vm);
            return (dataCentres === undefined || dataCentres.includes(node.vm.dataCentre))
                && covers(entitlement, demand) && covers(bindableCapacity(instance, cluster.vmOf(node)), entitlement);
        },
        cost: placementCost(context, job, demand),
    });
    if (nodes === undefined) {
        return false;
    }
    const cells = nodes.map(node => cluster.vmOf(node));
    guaranteeTable.rebind(instance, cells);
    startInInstance(context, job, instance, cells.slice(0, job.spec.gang.vms));
    return true;
};

const planReclaim = (
    { options, view }: PassContext,
    job: QueuedJob,
    instance: GuaranteedInstance,
    demand: Resources,
): ReclaimPlan | undefined => {
    const vms = fittingCells(job.spec, instance, ({ vm }) => isReady(vm));
    const victims = vms === undefined ? undefined : selectVictims({
        vms,
        demand,
        isCandidate: placed => options.reclaim && canBePreempted(placed),
        leastWorkLost: options.leastWorkLost,
    });
    return vms === undefined || victims === undefined
        ? undefined
        : { instance, vms, victims, lostWork: victims.reduce((sum, victim) => sum + workLost(victim, view.now), 0) };
};

const leastLostFirst: Ord.Ord<ReclaimPlan> = pipe(N.Ord, Ord.contramap(({ lostWork }: ReclaimPlan) => lostWork));

const fewestVictimsFirst: Ord.Ord<ReclaimPlan> = pipe(
    N.Ord,
    Ord.contramap(({ victims }: ReclaimPlan) => victims.length),
);

const cheapestPlanFirst = Ord.getMonoid<ReclaimPlan>().concat(leastLostFirst, fewestVictimsFirst);

/** Preempts the borrowers in the instance whose reclaim loses the least work. */
const reclaim = (
    context: PassContext,
    job: QueuedJob,
    instances: readonly GuaranteedInstance[],
    demand: Resources,
): boolean => {
    const plans = instances.slice(0, MAX_RECLAIM_PLANS).flatMap(instance =>
        planReclaim(context, job, instance, demand) ?? []
    );
    const [plan] = plans.sort(cheapestPlanFirst.compare);
    if (plan === undefined) {
        return false;
    }
    preemptAndAllocate(context, job, plan.vms, plan.victims);
    context.guaranteeTable.assignJob(plan.instance, job.jobId, plan.vms, demand);
    context.teamUsage.addJob(job.spec);
    return true;
};

/** Starts the job on free resources outside idle bound cells, which keeps the instance free for larger jobs. */
const startOutsideCells = (context: PassContext, job: QueuedJob, demand: Resources): boolean => {
    const { cluster, teamUsage } = context;
    if (teamUsage.isOverQuota(job.spec)) {
        return false;
    }
    const preemptible = isPreemptible(job.spec);
    const nodes = fitGang(cluster.capacityIndex, {
        vms: job.spec.gang.vms,
        demand,
        adjacency: job.spec.gang.adjacency,
        accepts: node => {
            const vm = cluster.vmOf(node);
            return covers(unboundFreeResources(vm), demand) && (preemptible || covers(unboundCapacity(vm), demand));
        },
        cost: placementCost(context, job, demand),
    });
    if (nodes === undefined) {
        return false;
    }
    startWithoutGuarantee(context, job, nodes.map(node => cluster.vmOf(node)), preemptible);
    return true;
};

const startOrReclaim = (
    context: PassContext,
    job: QueuedJob,
    fitting: readonly GuaranteedInstance[],
    demand: Resources,
): boolean =>
    fitting.some(instance => startInCells(context, job, instance, demand))
    || fitting.slice(0, 1).some(instance => rebindAndStart(context, job, instance, demand))
    || reclaim(context, job, fitting, demand);

/** The preemptible job that uses the instance, if an urgent job of the same team may take the instance over. */
const jobToTakeOverFrom = ({ cluster }: PassContext, { jobId }: GuaranteedInstance): PlacedJobState | undefined => {
    const currentJob = jobId === undefined ? undefined : cluster.placedById.get(jobId);
    return currentJob !== undefined && currentJob.preemptible && currentJob.usesGuarantee && !currentJob.stopping
            && !isUrgent(currentJob.job.spec)
        ? currentJob
        : undefined;
};

const leastLostTakeoverFirst = (now: number): Ord.Ord<Takeover> =>
    pipe(N.Ord, Ord.contramap(({ currentJob }: Takeover) => workLost(currentJob, now)));

/** Gives an urgent job an instance that another job of the same team uses; the other job becomes a borrower. */
const takeOverInstance = (
    context: PassContext,
    job: QueuedJob,
    instances: readonly GuaranteedInstance[],
    demand: Resources,
): boolean => {
    const { guaranteeTable, cluster, options, view } = context;
    if (!options.urgentTakesOver || !isUrgent(job.spec)) {
        return false;
    }
    const takeovers = instances
        .filter(instance => fittingCells(job.spec, instance, anyCell) !== undefined)
        .flatMap((instance): readonly Takeover[] => {
            const currentJob = jobToTakeOverFrom(context, instance);
            return currentJob === undefined ? [] : [{ instance, currentJob }];
        })
        .sort(leastLostTakeoverFirst(view.now).compare);
    return takeovers.some(({ instance, currentJob }) => {
        cluster.unmarkGuaranteed(currentJob);
        guaranteeTable.unassignJob(instance, currentJob);
        if (startOrReclaim(context, job, [instance], demand)) {
            return true;
        }
        cluster.markGuaranteed(currentJob);
        guaranteeTable.reassignJob(instance, currentJob);
        return false;
    });
};

const placeEligibleJob = (
    context: PassContext,
    { job, utilization }: EligibleJob,
    instances: readonly GuaranteedInstance[],
): boolean => {
    const demand = memberDemand(job.spec.gang);
    const fitting = fittingInstances(job, instances);
    const hasLowUtilization = utilization <= LOW_UTILIZATION && !isUrgent(job.spec);
    return (fitting.length > 0 && hasLowUtilization && startOutsideCells(context, job, demand))
        || startOrReclaim(context, job, fitting, demand)
        || takeOverInstance(context, job, instances, demand);
};

/**
 * Withdraws the instances of pending allocations, so that urgent jobs can use them; `resumePendingAllocations` assigns
 * again those that are still unused.
 */
const suspendPendingAllocations = (
    jobs: readonly QueuedJob[],
    instances: readonly GuaranteedInstance[],
): readonly PendingAllocation[] => {
    const byId = new Map(jobs.map(job => [job.jobId, job]));
    return instances.flatMap((instance): readonly PendingAllocation[] => {
        const job = instance.jobId === undefined ? undefined : byId.get(instance.jobId);
        if (job === undefined) {
            return [];
        }
        instance.jobId = undefined;
        return [{ job, instance }];
    });
};

const resumePendingAllocations = (
    context: PassContext,
    pendingAllocations: readonly PendingAllocation[],
    placedJobIds: Set<string>,
): void => {
    for (const { job, instance } of pendingAllocations) {
        const demand = memberDemand(job.spec.gang);
        const isFree = instance.jobId === undefined;
        if (isFree && (startInCells(context, job, instance, demand) || reclaim(context, job, [instance], demand))) {
            placedJobIds.add(job.jobId);
        }
    }
};

const placeEligibleJobs = (
    context: PassContext,
    eligibleJobs: readonly EligibleJob[],
    instances: readonly GuaranteedInstance[],
    placedJobIds: Set<string>,
): void => {
    for (const eligibleJob of eligibleJobs) {
        if (!placedJobIds.has(eligibleJob.job.jobId) && placeEligibleJob(context, eligibleJob, instances)) {
            placedJobIds.add(eligibleJob.job.jobId);
        }
    }
};

/** The instance of the team, in use or not, that the job utilizes most. */
const tightestInstance = (
    job: QueuedJob,
    instances: readonly GuaranteedInstance[],
): GuaranteedInstance | undefined =>
    instances
        .filter(instance => fittingCells(job.spec, instance, anyCell) !== undefined)
        .reduce<GuaranteedInstance | undefined>(
            (best, instance) =>
                best === undefined || utilizationOf(job, instance) > utilizationOf(job, best) ? instance : best,
            undefined,
        );

/**
 * Places the jobs of one team that fit its instances, and returns the ids of those that it started or allocated cells to.
 * Urgent jobs take precedence over pending allocations of other jobs.
 */
export const placeGuaranteedJobs = (
    context: PassContext,
    jobs: readonly QueuedJob[],
    instances: readonly GuaranteedInstance[],
): ReadonlySet<string> => {
    const placedJobIds = new Set<string>();
    const pendingAllocations = suspendPendingAllocations(jobs, instances);
    const eligibleJobs = jobs
        .flatMap((job): readonly EligibleJob[] => {
            const tightest = tightestInstance(job, instances);
            return tightest === undefined ? [] : [{ job, utilization: utilizationOf(job, tightest) }];
        })
        .sort(highestUtilizationFirst.compare);
    for (const urgent of [true, false]) {
        resumePendingAllocations(
            context,
            pendingAllocations.filter(({ job }) => isUrgent(job.spec) === urgent),
            placedJobIds,
        );
        const sameUrgency = eligibleJobs.filter(({ job }) => isUrgent(job.spec) === urgent);
        placeEligibleJobs(context, sameUrgency, instances, placedJobIds);
    }
    return placedJobIds;
};
