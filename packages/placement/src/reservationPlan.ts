import type { Adjacency } from "@persimmonpitch/schema/gang.js";
import { pipe } from "fp-ts/lib/function.js";
import * as M from "fp-ts/lib/Monoid.js";
import * as N from "fp-ts/lib/number.js";
import * as Ord from "fp-ts/lib/Ord.js";
import type { Amount } from "./amount.js";
import { addTo, covers, needOf } from "./amount.js";
import type { PlacedPart, PlacedState, VmState } from "./clusterState.js";
import { isReady, unboundRoom } from "./clusterState.js";
import type { QueuedJob } from "./clusterView.js";
import { isStoppable } from "./jobTraits.js";
import type { PassContext } from "./passContext.js";
import type { MayStop } from "./preemptionRight.js";
import { isBorrower, workLost } from "./victimSelection.js";

/** VMs for a job that does not fit now. */
export interface ReservationPlan {
    readonly vms: readonly VmState[];
    /** Wall time at which all of them are expected to be free. */
    readonly readyAt: number;
}

/** When a VM has room for the job, and the work lost by it. */
interface VmForecast {
    readonly vm: VmState;
    readonly readyAt: number;
    readonly lost: number;
}

interface Forecaster {
    readonly context: PassContext;
    readonly job: QueuedJob;
    readonly need: Amount;
    readonly stoppable: boolean;
    readonly mayStop: MayStop | undefined;
}

const partOn = ({ parts }: PlacedState, vm: VmState): PlacedPart | undefined => parts.find(part => part.vm === vm);

/** Room on a VM while the work on it ends. */
class FutureRoom {
    readonly #vm: VmState;
    readonly #forecaster: Forecaster;
    readonly #available;
    readonly #unbound;

    constructor(vm: VmState, forecaster: Forecaster) {
        this.#vm = vm;
        this.#forecaster = forecaster;
        this.#available = { ...vm.node.available };
        this.#unbound = unboundRoom(vm);
    }

    addComing(): void {
        addTo(this.#available, this.#vm.coming);
    }

    addEndOf(placed: PlacedState): void {
        const amount = partOn(placed, this.#vm)?.amount;
        if (amount !== undefined) {
            addTo(this.#available, amount);
            addTo(this.#unbound, amount, placed.stoppable || placed.claimed ? 0 : 1);
        }
    }

    isEnough(): boolean {
        const { need, stoppable } = this.#forecaster;
        return covers(this.#available, need) && (stoppable || covers(this.#unbound, need));
    }
}

const forecast = (vm: VmState, forecaster: Forecaster): VmForecast | undefined => {
    const { context: { view, estimates }, need, mayStop } = forecaster;
    if (!covers(vm.vm, need)) {
        return undefined;
    }
    const { now } = view;
    const afterGrace = now + view.rules.preemptionGraceMs;
    const room = new FutureRoom(vm, forecaster);
    if (room.isEnough()) {
        return { vm, readyAt: now, lost: 0 };
    }
    room.addComing();
    if (room.isEnough()) {
        return { vm, readyAt: afterGrace, lost: 0 };
    }
    let lost = 0;
    const inTheWay: PlacedState[] = [];
    for (const placed of vm.placed) {
        if (mayStop !== undefined && isBorrower(placed) && mayStop(placed.job.spec)) {
            room.addEndOf(placed);
            lost += workLost(placed, now);
        }
        else if (!placed.stopping) {
            inTheWay.push(placed);
        }
    }
    if (room.isEnough()) {
        return { vm, readyAt: afterGrace, lost };
    }
    const ending = inTheWay
        .map(placed => ({ placed, endsAt: now + estimates.remaining(placed.job) }))
        .sort((left, right) => left.endsAt - right.endsAt);
    for (const { placed, endsAt } of ending) {
        room.addEndOf(placed);
        if (room.isEnough()) {
            return { vm, readyAt: Math.max(endsAt, afterGrace), lost };
        }
    }
    return undefined;
};

const earliestFirst = M.concatAll(Ord.getMonoid<VmForecast>())([
    pipe(N.Ord, Ord.contramap(({ readyAt }: VmForecast) => readyAt)),
    pipe(N.Ord, Ord.contramap(({ lost }: VmForecast) => lost)),
    pipe(N.Ord, Ord.contramap(({ vm }: VmForecast) => vm.node.available.accelerators)),
]);

type GroupOf = (vm: VmState) => unknown;

const GROUPS: { readonly [K in Adjacency]: GroupOf; } = {
    vm: vm => vm,
    rack: ({ node }) => node.rack,
    dataCentre: ({ node }) => node.dataCentre,
    any: () => undefined,
};

interface GroupPlan extends ReservationPlan {
    readonly lost: number;
}

const planGroup = (group: readonly VmForecast[], count: number): GroupPlan | undefined => {
    const chosen = [...group].sort(earliestFirst.compare).slice(0, count);
    return chosen.length < count ? undefined : {
        vms: chosen.map(({ vm }) => vm),
        readyAt: chosen.reduce((latest, { readyAt }) => Math.max(latest, readyAt), 0),
        lost: chosen.reduce((sum, { lost }) => sum + lost, 0),
    };
};

const bestPlan = M.concatAll(Ord.getMonoid<GroupPlan>())([
    pipe(N.Ord, Ord.contramap(({ readyAt }: GroupPlan) => readyAt)),
    pipe(N.Ord, Ord.contramap(({ lost }: GroupPlan) => lost)),
]);

/** Finds the VMs that can be free for the job earliest; undefined when bound cells leave it no room at all. */
export const planReservation = (
    context: PassContext,
    job: QueuedJob,
    mayStop: MayStop | undefined,
): ReservationPlan | undefined => {
    const { gang } = job.spec;
    const forecaster = { context, job, need: needOf(gang), stoppable: isStoppable(job.spec), mayStop };
    const groupOf = GROUPS[gang.vms === 1 ? "any" : gang.adjacency];
    const groups = new Map<unknown, VmForecast[]>();
    for (const vm of context.cluster.vms) {
        const found = isReady(vm.vm) && vm.reservation === undefined ? forecast(vm, forecaster) : undefined;
        if (found !== undefined) {
            const group = groups.get(groupOf(vm)) ?? [];
            groups.set(groupOf(vm), group);
            group.push(found);
        }
    }
    return [...groups.values()].flatMap(group => planGroup(group, gang.vms) ?? []).sort(bestPlan.compare)[0];
};
