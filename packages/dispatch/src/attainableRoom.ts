import { addTo, countedDemand, type MutableDemand, slotsIn } from "./demand.js";
import type { DispatchView } from "./dispatchView.js";
import { type ExecutorResources, holdTogether, isEligible } from "./executorResources.js";
import { guaranteedOccurrences, isGuaranteedStart } from "./guarantees.js";
import { occurrenceId } from "./occurrenceForecasts.js";
import type { OpenOccurrence } from "./openOccurrences.js";
import { isUrgent, type ReadyUnit, tasksAtOnce } from "./readyUnits.js";
import type { RunStep, RunSteps } from "./runGroups.js";

/** Which of the runs without a guarantee a unit may preempt: all, those of lower priorities, or none. */
type PreemptionRight = "any" | "lower" | "none";

/** Whether a run without a guarantee may be preempted, by the right of the unit. Only units of priority 0 have one. */
const MAY_PREEMPT: { readonly [K in PreemptionRight]: (run: RunStep) => boolean; } = {
    any: () => true,
    lower: ({ view: { queue } }) => queue.priority > 0,
    none: () => false,
};

/**
 * Room that a unit can get at all: the capacity of the executors that it can use, without what long-running tasks hold
 * that it may not preempt. All other runs end.
 */
export class AttainableRoom {
    private readonly guaranteed: ReadonlySet<string>;
    private readonly roomByRight = new Map<PreemptionRight, readonly MutableDemand[]>();
    private readonly known = new Map<string, boolean>();

    constructor(
        view: DispatchView,
        occurrences: readonly OpenOccurrence[],
        private readonly executors: readonly ExecutorResources[],
        private readonly runSteps: RunSteps,
    ) {
        this.guaranteed = guaranteedOccurrences(view, occurrences);
    }

    /** Whether the room holds the tasks of the unit that have to start together. */
    holds(unit: ReadyUnit): boolean {
        const right = this.rightOf(unit);
        const { demand, step: { requiredLabel, maxPerExecutor } } = unit;
        const { service } = unit.openOccurrence.view.queue;
        const key = JSON.stringify([right, service, requiredLabel, demand, maxPerExecutor, tasksAtOnce(unit)]);
        const known = this.known.get(key) ?? this.hasSlots(unit, this.roomFor(right));
        this.known.set(key, known);
        return known;
    }

    private rightOf(unit: ReadyUnit): PreemptionRight {
        if (isGuaranteedStart(this.guaranteed, unit)) {
            return "any";
        }
        return isUrgent(unit) ? "lower" : "none";
    }

    private hasSlots(unit: ReadyUnit, room: readonly MutableDemand[]): boolean {
        return holdTogether(this.executors, unit, executor => {
            const available = room[executor.index];
            return available !== undefined && isEligible(executor, unit)
                ? Math.min(slotsIn(available, unit.demand), unit.step.maxPerExecutor ?? Infinity)
                : 0;
        });
    }

    private roomFor(right: PreemptionRight): readonly MutableDemand[] {
        const room = this.roomByRight.get(right) ?? this.executors.map(executor => this.roomOn(executor, right));
        this.roomByRight.set(right, room);
        return room;
    }

    private roomOn({ index, view: { capacity, runs } }: ExecutorResources, right: PreemptionRight): MutableDemand {
        const room = { ...capacity };
        for (const [position, { isStopping }] of runs.entries()) {
            const runStep = this.runSteps[index]?.[position];
            if (runStep !== undefined && !isStopping && this.isPermanent(runStep, right)) {
                addTo(room, countedDemand(runStep.step), -1);
            }
        }
        return room;
    }

    private isPermanent(run: RunStep, right: PreemptionRight): boolean {
        return run.step.isLongRunning && (this.guaranteed.has(occurrenceId(run)) || !MAY_PREEMPT[right](run));
    }
}
