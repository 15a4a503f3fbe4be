import type { VmNode } from "./capacityIndex.js";
import type { Reservation, VmState } from "./clusterState.js";
import { unboundCapacity, unboundFreeResources } from "./clusterState.js";
import type { QueuedJob } from "./clusterView.js";
import { fitGang } from "./gangFit.js";
import { isPreemptible } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";
import { gangShapeKey, preemptAndAllocate, startWithoutGuarantee } from "./passContext.js";
import { placementCost } from "./placementCost.js";
import type { PreemptionRule } from "./preemptionRules.js";
import { isLargeGang, preemptionRuleFor } from "./preemptionRules.js";
import type { QueueOrder } from "./queueOrder.js";
import type { ReservationPlan } from "./reservationPlan.js";
import { planReservation } from "./reservationPlan.js";
import { covers, memberDemand } from "./resources.js";
import { canBePreempted, selectVictims } from "./victimSelection.js";

/** Reservation plans per pass. Each examines every VM, so the number is limited; later passes plan for other jobs. */
const MAX_RESERVATION_PLANS = 4;

/** Longest expected run time of a borrower without checkpoints, which loses all its work if it is preempted. */
const MAX_BORROWER_RUN_MS = 120_000;

const MS_PER_SECOND = 1_000;

const preemptNothing: PreemptionRule = () => false;

/** Places the jobs that were not placed in guaranteed instances, in queue order. */
export class UnguaranteedPlacement {
    readonly #context: PassContext;
    readonly #reservations: Reservation[] = [];
    /** Searches that found no VMs earlier in the pass. They are not repeated, because free resources only shrink. */
    readonly #infeasibleKeys = new Set<string>();
    #plansLeft = MAX_RESERVATION_PLANS;
    #largeGangPlansLeft = MAX_RESERVATION_PLANS;
    /** Set by the first large gang with a plan. A gang that no VMs outside bound cells can hold must not block the next. */
    #hasPlannedLargeGang = false;

    constructor(context: PassContext) {
        this.#context = context;
    }

    placeAll(order: QueueOrder, isHandled: (jobId: string) => boolean): void {
        for (let job = order.next(); job !== undefined; job = order.next()) {
            if (!isHandled(job.jobId)) {
                this.#place(job);
            }
        }
    }

    #place(job: QueuedJob): void {
        const { teamUsage, decisions } = this.#context;
        const { team } = job.spec;
        if (teamUsage.isOverQuota(job.spec)) {
            const data = { held: teamUsage.allocatedAccelerators(team), quota: teamUsage.quotaAccelerators(team) };
            decisions.wait(job, "quotaReached", "quotaReached", data);
            return;
        }
        const usableReservations = this.#reservations.filter(reservation => this.#mayBackfill(job, reservation));
        const vms = this.#findVms(job, usableReservations);
        if (vms !== undefined) {
            startWithoutGuarantee(this.#context, job, vms, isPreemptible(job.spec));
            return;
        }
        if (!this.#preemptOrReserve(job)) {
            this.#recordWaitReason(job, usableReservations.length < this.#reservations.length);
        }
    }

    #mayBackfill(job: QueuedJob, { readyAt, mayPreempt, isWaitBounded }: Reservation): boolean {
        const { options, estimates, view } = this.#context;
        if (!options.backfill) {
            return false;
        }
        const endsBeforeReservation = view.now + estimates.upperBoundMs(job) <= readyAt;
        return isPreemptible(job.spec)
            ? endsBeforeReservation || (job.spec.checkpointable && mayPreempt(job.spec, view.now))
            : endsBeforeReservation && !isWaitBounded;
    }

    #findVms(
        job: QueuedJob,
        usableReservations: readonly Reservation[],
        mayBorrow = this.#mayBorrow(job),
    ): readonly VmState[] | undefined {
        const { cluster, options } = this.#context;
        const { gang } = job.spec;
        const preemptible = isPreemptible(job.spec);
        const key = `${gangShapeKey(gang)} ${preemptible} ${mayBorrow}`;
        const restrictedKey = `${key} ${usableReservations.map(({ jobId }) => jobId).join(" ")}`;
        const isRestricted = usableReservations.length < this.#reservations.length;
        if (this.#infeasibleKeys.has(key) || (isRestricted && this.#infeasibleKeys.has(restrictedKey))) {
            return undefined;
        }
        const demand = memberDemand(gang);
        const accepts = (node: VmNode): boolean => {
            const vm = cluster.vmOf(node);
            return (vm.reservation === undefined || usableReservations.includes(vm.reservation))
                && (preemptible || covers(unboundCapacity(vm), demand))
                && (!preemptible || mayBorrow || covers(unboundFreeResources(vm), demand));
        };
        const nodes = fitGang(cluster.capacityIndex, {
            vms: gang.vms,
            demand,
            adjacency: gang.adjacency,
            accepts,
            cost: placementCost(this.#context, job, demand),
            exhaustive: !options.bestFit,
        });
        if (nodes === undefined) {
            this.#infeasibleKeys.add(isRestricted ? restrictedKey : key);
        }
        return nodes?.map(node => cluster.vmOf(node));
    }

    /**
     * Whether the job may use idle bound cells: a reclaim would lose little of its work, it has waited as long as it is
     * expected to run, or it is a large gang, which is hard to place.
     */
    #mayBorrow(job: QueuedJob): boolean {
        const { options, estimates, view } = this.#context;
        const expectedMs = estimates.expectedMs(job);
        return !options.shortBorrowers || view.guarantees.length === 0 || job.spec.checkpointable
            || isLargeGang(job.spec)
            || expectedMs <= Math.max(MAX_BORROWER_RUN_MS, view.now - job.submittedAt);
    }

    /** Preempts other jobs for the job or reserves VMs for it; returns false if it did neither. */
    #preemptOrReserve(job: QueuedJob): boolean {
        const { options } = this.#context;
        const isFirstLargeGang = !this.#hasPlannedLargeGang && this.#largeGangPlansLeft > 0 && isLargeGang(job.spec);
        const mayPreempt = preemptionRuleFor(this.#context, job, isFirstLargeGang);
        const mayReserve = options.reservation && this.#mayBorrow(job)
            && (this.#reservations.length === 0 || isFirstLargeGang);
        if ((mayPreempt === undefined && !mayReserve) || (this.#plansLeft === 0 && !isFirstLargeGang)) {
            return false;
        }
        this.#largeGangPlansLeft -= isFirstLargeGang ? 1 : 0;
        this.#plansLeft -= isFirstLargeGang ? 0 : 1;
        const plan = planReservation(this.#context, job, mayPreempt, isFirstLargeGang, !mayReserve);
        if (plan === undefined) {
            return false;
        }
        this.#hasPlannedLargeGang ||= isFirstLargeGang;
        if (this.#preemptNow(job, plan, mayPreempt ?? preemptNothing)) {
            return true;
        }
        if (mayReserve) {
            this.#reserve(job, plan, mayPreempt ?? preemptNothing, isFirstLargeGang);
        }
        return mayReserve;
    }

    #preemptNow(job: QueuedJob, { vms, readyAt }: ReservationPlan, mayPreempt: PreemptionRule): boolean {
        const { view, options, teamUsage } = this.#context;
        if (readyAt > view.now + view.rules.preemptionGraceMs) {
            return false;
        }
        const victims = selectVictims({
            vms,
            demand: memberDemand(job.spec.gang),
            isCandidate: placed => canBePreempted(placed) && mayPreempt(placed.job.spec, placed.job.startedAt),
            leastWorkLost: options.leastWorkLost,
        });
        if (victims === undefined) {
            return false;
        }
        preemptAndAllocate(this.#context, job, vms, victims);
        teamUsage.addJob(job.spec);
        return true;
    }

    #reserve(
        job: QueuedJob,
        { vms, readyAt }: ReservationPlan,
        mayPreempt: PreemptionRule,
        isWaitBounded: boolean,
    ): void {
        const reservation: Reservation = { jobId: job.jobId, readyAt, mayPreempt, isWaitBounded };
        this.#reservations.push(reservation);
        for (const vm of vms) {
            vm.reservation = reservation;
        }
        const seconds = Math.ceil((readyAt - this.#context.view.now) / MS_PER_SECOND);
        this.#context.decisions.wait(job, "noCapacity", "reservationHolder", { seconds });
    }

    #recordWaitReason(job: QueuedJob, isRestricted: boolean): void {
        const { teamUsage, decisions, options } = this.#context;
        const { team, gang } = job.spec;
        const [reservation] = this.#reservations;
        if (isRestricted && reservation !== undefined && this.#findVms(job, this.#reservations) !== undefined) {
            decisions.wait(job, "reservedForLargerJob", "reservedForLargerJob", { jobId: reservation.jobId });
        }
        else if (options.fairShare && teamUsage.fairShareUsed(team) > 1) {
            const data = { held: teamUsage.allocatedAccelerators(team), share: Math.floor(teamUsage.fairShare(team)) };
            decisions.wait(job, "fairShare", "fairShare", data);
        }
        else {
            const messageId = !isPreemptible(job.spec)
                ? "noUnboundCells"
                : !this.#mayBorrow(job) && this.#findVms(job, this.#reservations, true) !== undefined
                ? "tooLongToBorrow"
                : "noCapacity";
            const data = { accelerators: gang.acceleratorsPerVm, vms: gang.vms, adjacency: gang.adjacency };
            decisions.wait(job, "noCapacity", messageId, data);
        }
    }
}
