import type { Adjacency } from "@persimmonpitch/schema/gang.js";
import type { WorkClass } from "@persimmonpitch/schema/job.js";
import type { DeploymentName } from "./traceSchema.js";

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;

/** A gang shape and how often it is asked for. */
export interface ShapeChoice {
    readonly vms: number;
    readonly acceleratorsPerVm: number;
    readonly adjacency: Adjacency;
    readonly weight: number;
}

/** Jobs of one class in one deployment. */
export interface ClassProfile {
    /** Share of all accelerator time that the class asks for. */
    readonly load?: number | undefined;
    /** Number of jobs, where section 3 gives that instead of a load. */
    readonly jobsPerDay?: number;
    readonly medianRunMs: number;
    /** Standard deviation of the logarithm of the run time. */
    readonly sigma: number;
    readonly maxRunMs: number;
    readonly shapes: readonly ShapeChoice[];
    readonly idempotent: boolean;
    /** Share of the jobs that write checkpoints. */
    readonly checkpointable: number;
    /** Number of bursts in a trace; a third of the jobs come in bursts. */
    readonly bursts: number;
    /** Median time between the earliest possible end and the needed-by time; absent if there is no needed-by time. */
    readonly slackMs?: number;
}

const shape = (vms: number, acceleratorsPerVm: number, adjacency: Adjacency, weight: number): ShapeChoice => ({
    vms,
    acceleratorsPerVm,
    adjacency,
    weight,
});

const SMALL = [shape(1, 1, "vm", 7), shape(1, 2, "vm", 2), shape(1, 4, "vm", 1)];
const ADJACENT = [
    shape(1, 4, "vm", 4),
    shape(1, 8, "vm", 4),
    shape(2, 8, "rack", 3),
    shape(3, 8, "rack", 1),
    shape(4, 4, "any", 1),
];
/** Gangs of up to 64 tasks, 1.4 accelerators to a task: 4,500 running tasks take six sevenths of the plan. */
const PLAN_LARGE = [
    shape(64, 1, "any", 2),
    shape(64, 2, "dataCentre", 1),
    shape(32, 1, "dataCentre", 2),
    shape(16, 2, "dataCentre", 3),
    shape(8, 2, "any", 1),
    shape(4, 4, "dataCentre", 1),
];

const RENDERS: ClassProfile = {
    load: 0.1,
    medianRunMs: 20 * SECOND_MS,
    sigma: 0.6,
    maxRunMs: 5 * MINUTE_MS,
    shapes: [shape(1, 1, "vm", 8), shape(1, 2, "vm", 2)],
    idempotent: true,
    checkpointable: 0,
    bursts: 30,
};
const URGENT: ClassProfile = {
    load: 0.08,
    medianRunMs: 8 * MINUTE_MS,
    sigma: 0.7,
    maxRunMs: HOUR_MS,
    shapes: SMALL,
    idempotent: true,
    checkpointable: 1,
    bursts: 4,
};
const READINGS: ClassProfile = {
    load: 0.12,
    medianRunMs: 3 * MINUTE_MS,
    sigma: 0.8,
    maxRunMs: HOUR_MS,
    shapes: SMALL,
    idempotent: true,
    checkpointable: 0,
    bursts: 6,
};
const BATCHES: ClassProfile = {
    load: 0.45,
    medianRunMs: 35 * MINUTE_MS,
    sigma: 0.7,
    maxRunMs: 3 * HOUR_MS,
    shapes: ADJACENT,
    idempotent: false,
    checkpointable: 0.7,
    bursts: 2,
};
const PREVIEWS: ClassProfile = {
    load: 0.15,
    medianRunMs: 4 * MINUTE_MS,
    sigma: 0.8,
    maxRunMs: HOUR_MS,
    shapes: SMALL,
    idempotent: true,
    checkpointable: 0.5,
    bursts: 3,
};

/** Classes of work as in section 1; the loads add up to nine tenths, before bursts and the reclaim by all teams. */
export const WORK_PROFILES: Readonly<Record<DeploymentName, Readonly<Record<WorkClass, ClassProfile>>>> = {
    cooperative: {
        urgent: URGENT,
        interactive: RENDERS,
        standard: READINGS,
        batch: BATCHES,
        bestEffort: PREVIEWS,
    },
    lentesud: {
        urgent: URGENT,
        // Prescription labels: a second one must never be issued.
        interactive: { ...RENDERS, load: 0.04, idempotent: false },
        // Lens readings come back on the same day.
        standard: { ...READINGS, load: 0.18, slackMs: 4 * HOUR_MS },
        // Catalogue refreshes are slow and finish before shipping.
        batch: { ...BATCHES, load: 0.5, idempotent: true, checkpointable: 0.8, slackMs: 6 * HOUR_MS },
        bestEffort: { ...PREVIEWS, load: 0.1 },
    },
    plan: {
        urgent: { ...URGENT, load: undefined, jobsPerDay: 80 },
        interactive: { ...RENDERS, load: undefined, jobsPerDay: 60, medianRunMs: 5 * MINUTE_MS, maxRunMs: HOUR_MS },
        standard: {
            ...READINGS,
            load: undefined,
            jobsPerDay: 90,
            medianRunMs: 4 * HOUR_MS,
            maxRunMs: 12 * HOUR_MS,
            shapes: ADJACENT,
            slackMs: 12 * HOUR_MS,
        },
        batch: {
            ...BATCHES,
            load: undefined,
            jobsPerDay: 250,
            medianRunMs: 10 * HOUR_MS,
            maxRunMs: 24 * HOUR_MS,
            shapes: PLAN_LARGE,
        },
        bestEffort: {
            ...PREVIEWS,
            load: undefined,
            jobsPerDay: 60,
            medianRunMs: 6 * HOUR_MS,
            maxRunMs: 24 * HOUR_MS,
            shapes: [...ADJACENT, ...PLAN_LARGE],
        },
    },
};
