import type { Step } from "@persimmonpitch/workload/step.js";
import { countedDemand, slotsIn } from "./demand.js";
import type { ExecutorView, JobView } from "./dispatchView.js";
import { type ExecutorShape, executorShapes } from "./executorShapes.js";

/**
 * A step with more tasks than this share of the slots of its service is expected to run in waves of that many tasks.
 */
const WAVE_SHARE = 0.25;

/** Estimated duration of a step as a multiple of the run time of one task. */
export interface StepWaves {
    /** Waves that the objective of the job allows for the step. */
    readonly allowed: (view: JobView, stepIndex: number) => number;
    /** Waves that `count` tasks of the step need if they get all slots of the service. */
    readonly needed: (view: JobView, stepIndex: number, count: number) => number;
}

const slotsOn = ({ capacity, labels, count }: ExecutorShape, step: Step): number =>
    step.requiredLabel === undefined || labels.includes(step.requiredLabel)
        ? count * Math.min(slotsIn(capacity, countedDemand(step)), step.maxPerExecutor ?? Infinity)
        : 0;

/** Counts waves by the slots on the empty executors of each service. */
export const stepWaves = (executors: readonly ExecutorView[]): StepWaves => {
    const shapes = executorShapes(executors).filter(({ takesWork }) => takesWork);
    const slotsByStep = new Map<Step, number>();
    const slotsFor = ({ queue, job }: JobView, stepIndex: number): number => {
        const step = job.steps[stepIndex];
        if (step === undefined) {
            return 0;
        }
        const known = slotsByStep.get(step);
        const slots = known ?? shapes
            .filter(({ service }) => service === queue.service)
            .reduce((sum, shape) => sum + slotsOn(shape, step), 0);
        slotsByStep.set(step, slots);
        return slots;
    };
    return {
        allowed: (view, stepIndex) => {
            const slots = slotsFor(view, stepIndex);
            const count = view.job.steps[stepIndex]?.count ?? 0;
            return slots === 0 ? 1 : Math.max(1, count / (WAVE_SHARE * slots));
        },
        needed: (view, stepIndex, count) => {
            const slots = slotsFor(view, stepIndex);
            return slots === 0 ? 1 : Math.max(1, Math.ceil(count / slots));
        },
    };
};
