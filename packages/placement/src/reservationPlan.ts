import type { Adjacency } from "@persimmonpitch/schema/gang.js";
import type { PlacedJobState, VmState } from "./clusterState.js";
import { isReady, unboundCapacityCovers } from "./clusterState.js";
import type { QueuedJob } from "./clusterView.js";
import { isPreemptible } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";
import type { PreemptionRule } from "./preemptionRules.js";
import type { Resources } from "./resources.js";
import { addResources, assignResources, covers, memberDemand, zeroResources } from "./resources.js";
import { canBePreempted, workLost } from "./victimSelection.js";

/** VMs to reserve for a job that does not fit now. */
export interface ReservationPlan {
    readonly vms: readonly VmState[];
    /** Wall time at which all of them are expected to be free. */
    readonly readyAt: number;
}

/** Time at which a VM is expected to have the resources for one member of the job, and the work lost by preemption. */
interface VmForecast {
    readonly vm: VmState;
    /**
     * Latest start of the non-preemptible jobs on the VM; 0 if the wait is not bounded. No such job starts on reserved
     * VMs, so plans ordered by this value keep the same VMs from pass to pass even if run time estimates change.
     */
    readonly blockedSince: number;
    readonly readyAt: number;
    readonly lostWork: number;
}

interface ForecastInput {
    readonly context: PassContext;
    readonly demand: Resources;
    readonly preemptible: boolean;
    readonly mayPreempt: PreemptionRule | undefined;
    readonly isWaitBounded: boolean;
    /** Excludes VMs on which a job has to end by itself first. */
    readonly onlyByPreemption: boolean;
    readonly projection: ProjectedCapacity;
    /** Jobs on the VM in order of their expected end; one array is reused for all VMs. */
    readonly endingJobs: PlacedJobState[];
}

/** Projected capacity of a VM as the jobs on it end. One object is reused for all VMs of a plan. */
class ProjectedCapacity {
    readonly #available = zeroResources();
    readonly #unbound = zeroResources();
    readonly #demand: Resources;
    readonly #preemptible: boolean;

    constructor(demand: Resources, preemptible: boolean) {
        this.#demand = demand;
        this.#preemptible = preemptible;
    }

    /** Sets the projection to the free and releasing resources of the VM. */
    reset({ vm, node: { available }, releasing, bound, nonPreemptible }: VmState): void {
        assignResources(this.#available, available);
        addResources(this.#available, releasing);
        assignResources(this.#unbound, vm);
        addResources(this.#unbound, bound, -1);
        addResources(this.#unbound, nonPreemptible, -1);
    }

    release({ allocations, preemptible, usesGuarantee }: PlacedJobState, vm: VmState): void {
        for (const allocation of allocations) {
            if (allocation.vm === vm) {
                addResources(this.#available, allocation.resources);
                if (!preemptible && !usesGuarantee) {
                    addResources(this.#unbound, allocation.resources);
                }
            }
        }
    }

    coversDemand(): boolean {
        return covers(this.#available, this.#demand) && (this.#preemptible || covers(this.#unbound, this.#demand));
    }
}

const isPotentialVictim = (placed: PlacedJobState, mayPreempt: PreemptionRule | undefined): boolean =>
    mayPreempt !== undefined && canBePreempted(placed) && mayPreempt(placed.job.spec, placed.job.startedAt);

const expectedEndOf = (placed: PlacedJobState, { view: { now }, estimates }: PassContext): number => {
    placed.expectedEndAt ??= now + estimates.remainingMs(placed.job);
    return placed.expectedEndAt;
};

/** Insertion sort by expected end, stable for equal ends; a VM has few placed jobs. */
const insertByEnd = (endingJobs: PlacedJobState[], placed: PlacedJobState, context: PassContext): void => {
    const expectedEndAt = expectedEndOf(placed, context);
    let index = endingJobs.length;
    endingJobs.push(placed);
    for (
        let previous = endingJobs[index - 1];
        previous !== undefined && expectedEndOf(previous, context) > expectedEndAt;
        previous = endingJobs[index - 1]
    ) {
        endingJobs[index] = previous;
        index -= 1;
    }
    endingJobs[index] = placed;
};

const forecastEnd = (
    vm: VmState,
    { context, mayPreempt, projection, endingJobs }: ForecastInput,
): number | undefined => {
    endingJobs.length = 0;
    for (const placed of vm.placed) {
        if (!placed.stopping && !isPotentialVictim(placed, mayPreempt)) {
            insertByEnd(endingJobs, placed, context);
        }
    }
    for (const placed of endingJobs) {
        projection.release(placed, vm);
        if (projection.coversDemand()) {
            return expectedEndOf(placed, context);
        }
    }
    return undefined;
};

const newestNonPreemptibleStart = ({ placed }: VmState): number =>
    placed.reduce((newest, { job, preemptible }) => preemptible ? newest : Math.max(newest, job.startedAt), 0);

const forecast = (vm: VmState, input: ForecastInput): VmForecast | undefined => {
    const { context: { view }, demand, preemptible, mayPreempt, onlyByPreemption, projection } = input;
    const isUnbound = preemptible || unboundCapacityCovers(vm, demand);
    if (!covers(vm.vm, demand) || (onlyByPreemption && !isUnbound)) {
        return undefined;
    }
    if (isUnbound && covers(vm.node.available, demand)) {
        return { vm, blockedSince: 0, readyAt: view.now, lostWork: 0 };
    }
    const graceEndsAt = view.now + view.rules.preemptionGraceMs;
    projection.reset(vm);
    if (projection.coversDemand()) {
        return { vm, blockedSince: 0, readyAt: graceEndsAt, lostWork: 0 };
    }
    let lostWork = 0;
    for (const placed of vm.placed) {
        if (isPotentialVictim(placed, mayPreempt)) {
            projection.release(placed, vm);
            lostWork += workLost(placed, view.now);
        }
    }
    if (projection.coversDemand()) {
        return { vm, blockedSince: 0, readyAt: graceEndsAt, lostWork };
    }
    const expectedEndAt = onlyByPreemption ? undefined : forecastEnd(vm, input);
    return expectedEndAt === undefined ? undefined : {
        vm,
        blockedSince: input.isWaitBounded ? newestNonPreemptibleStart(vm) : 0,
        readyAt: Math.max(expectedEndAt, graceEndsAt),
        lostWork,
    };
};

const compareForecasts = (left: VmForecast, right: VmForecast): number =>
    left.blockedSince - right.blockedSince || left.readyAt - right.readyAt || left.lostWork - right.lostWork
    || left.vm.node.available.accelerators - right.vm.node.available.accelerators;

type DomainOf = (vm: VmState) => unknown;

const DOMAIN_OF: { readonly [K in Adjacency]: DomainOf; } = {
    vm: vm => vm,
    rack: ({ node }) => node.rack,
    dataCentre: ({ node }) => node.dataCentre,
    any: () => undefined,
};

interface DomainPlan extends ReservationPlan {
    readonly blockedSince: number;
    readonly lostWork: number;
}

/** Forecasts of the VMs in one topology domain. */
interface DomainForecasts {
    readonly all: VmForecast[];
    /** VMs that are available within the grace without loss of work. */
    readonly availableWithinGrace: VmForecast[];
}

const earliestForecasts = (forecasts: readonly VmForecast[], count: number): readonly VmForecast[] =>
    count === 1
        ? forecasts.slice(0, 1).map(first => forecasts.reduce((a, b) => compareForecasts(b, a) < 0 ? b : a, first))
        : [...forecasts].sort(compareForecasts).slice(0, count);

const planDomain = (forecasts: readonly VmForecast[], count: number): DomainPlan | undefined => {
    const chosen = earliestForecasts(forecasts, count);
    return chosen.length < count ? undefined : {
        vms: chosen.map(({ vm }) => vm),
        blockedSince: chosen.reduce((newest, { blockedSince }) => Math.max(newest, blockedSince), 0),
        readyAt: chosen.reduce((latest, { readyAt }) => Math.max(latest, readyAt), 0),
        lostWork: chosen.reduce((sum, { lostWork }) => sum + lostWork, 0),
    };
};

const comparePlans = (left: DomainPlan, right: DomainPlan): number =>
    left.blockedSince - right.blockedSince || left.readyAt - right.readyAt || left.lostWork - right.lostWork;

/**
 * Finds the VMs that are expected to be available to the job earliest; undefined if too few VMs can hold its members
 * outside bound cells. With `onlyByPreemption` it considers only VMs that are available within the grace, which is cheaper.
 */
export const planReservation = (
    context: PassContext,
    job: QueuedJob,
    mayPreempt: PreemptionRule | undefined,
    isWaitBounded: boolean,
    onlyByPreemption: boolean,
): ReservationPlan | undefined => {
    const { gang } = job.spec;
    const preemptible = isPreemptible(job.spec);
    const demand = memberDemand(gang);
    const input: ForecastInput = {
        context,
        demand,
        preemptible,
        mayPreempt,
        isWaitBounded,
        onlyByPreemption,
        projection: new ProjectedCapacity(demand, preemptible),
        endingJobs: [],
    };
    const domainOf = DOMAIN_OF[gang.vms === 1 ? "any" : gang.adjacency];
    const forecastsByDomain = new Map<unknown, DomainForecasts>();
    for (const vm of context.cluster.vms) {
        context.cluster.capacityIndex.visits += 1;
        const vmForecast = isReady(vm.vm) && vm.reservation === undefined ? forecast(vm, input) : undefined;
        if (vmForecast !== undefined) {
            const forecasts = forecastsByDomain.get(domainOf(vm)) ?? { all: [], availableWithinGrace: [] };
            forecastsByDomain.set(domainOf(vm), forecasts);
            forecasts.all.push(vmForecast);
            if (
                vmForecast.lostWork === 0
                && vmForecast.readyAt <= context.view.now + context.view.rules.preemptionGraceMs
            ) {
                forecasts.availableWithinGrace.push(vmForecast);
            }
            // No later VM can improve the plan, so the remaining VMs need no forecast.
            if (forecasts.availableWithinGrace.length === gang.vms) {
                return planDomain(forecasts.availableWithinGrace, gang.vms);
            }
        }
    }
    return [...forecastsByDomain.values()].flatMap(({ all }) => planDomain(all, gang.vms) ?? []).sort(comparePlans)[0];
};
