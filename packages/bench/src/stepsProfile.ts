import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Demand } from "@persimmonpitch/workload/step.js";
import * as z from "zod";

/** Installations that days of jobs of steps are generated for. */
export const stepsDeploymentSchema = z.enum(["cooperative", "lentesud"]);
export type StepsDeployment = z.infer<typeof stepsDeploymentSchema>;

/** A log-normal distribution that is cut off; the mean is the one before the cut. */
export interface Spread {
    readonly mean: number;
    readonly sigma: number;
    readonly most: number;
}

/** Jobs of one queue. */
export interface QueueProfile {
    readonly priority: number;
    readonly slackFactor: number;
    readonly targetLatencyMs: Millis;
    /** Arrivals a second. */
    readonly rate: number;
    readonly milliCores: number;
    readonly memoryMb: number;
    /** Accelerators of a task, each as likely as the others. */
    readonly accelerators: readonly number[];
    readonly runMs: Spread;
    readonly tasks: Spread;
    /** Probability of a second step after the first. */
    readonly secondStep: number;
    readonly declaredSigma: number;
    /** Share of gangs among the steps whose tasks need few accelerators. */
    readonly gangs: number;
    readonly checkpoints: number;
    /** Share of the jobs that name a data rack, a label or a limit per executor. */
    readonly bound: number;
    readonly failures: number;
    readonly cancelled: number;
    readonly worth: number;
    readonly lateWorth: number;
}

/** One installation. */
export interface StepsProfile {
    readonly capacity: Demand;
    readonly checkpointIntervalMs: Millis;
    readonly restoreMs: Millis;
    readonly reclaimMs: Millis;
    readonly queues: Readonly<Record<string, QueueProfile>>;
}

const MB_PER_GB = 1_024;
const SOME_ACCELERATORS = [1, 2, 4, 8, 8];

/** Few, long tasks that need much. */
const LONG = {
    ...{ priority: 1, slackFactor: 3, targetLatencyMs: 1_000, accelerators: SOME_ACCELERATORS },
    tasks: { mean: 1.5, sigma: 0.8, most: 9 },
    ...{ secondStep: 0, declaredSigma: 0.9, gangs: 0.5, checkpoints: 0.45, bound: 0.3 },
    ...{ failures: 0.02, cancelled: 0.05, worth: 3 },
};

/** Short gangs that somebody waits for. */
const AWAITED = {
    ...{ priority: 0, slackFactor: 1.5, targetLatencyMs: 300, accelerators: SOME_ACCELERATORS },
    runMs: { mean: 3_570, sigma: 0.5, most: 11_400 },
    tasks: { mean: 3.4, sigma: 0.8, most: 21 },
    ...{ secondStep: 0, declaredSigma: 0.9, gangs: 0.95, checkpoints: 0, bound: 0 },
    ...{ failures: 0, cancelled: 0, worth: 4, lateWorth: 0.8 },
};

/** Many small tasks that can wait. */
const PATIENT = {
    ...{ priority: 2, slackFactor: 3, targetLatencyMs: 3_000, accelerators: [1] },
    tasks: { mean: 9.2, sigma: 0.8, most: 55 },
    ...{ secondStep: 0.3, declaredSigma: 0.5, gangs: 0, checkpoints: 0.45, bound: 0.12 },
    ...{ failures: 0.05, cancelled: 0.15, worth: 1 },
};

/** The installations; the queues of one and the other differ in load, run times and demand. */
export const STEPS_PROFILES: { readonly [K in StepsDeployment]: StepsProfile; } = {
    cooperative: {
        capacity: { milliCores: 128_000, memoryMb: 512 * MB_PER_GB, accelerators: 8 },
        ...{ checkpointIntervalMs: 1_000, restoreMs: 250, reclaimMs: 2_900 },
        queues: {
            batches: {
                ...LONG,
                ...{ rate: 0.39, milliCores: 52_000, memoryMb: 150 * MB_PER_GB, lateWorth: 0.3 },
                runMs: { mean: 9_700, sigma: 0.3, most: 15_700 },
            },
            renders: { ...AWAITED, rate: 0.36, milliCores: 15_000, memoryMb: 79 * MB_PER_GB },
            previews: {
                ...PATIENT,
                ...{ rate: 0.12, milliCores: 11_000, memoryMb: 33 * MB_PER_GB, lateWorth: 0.1 },
                runMs: { mean: 13_600, sigma: 0.3, most: 15_700 },
            },
        },
    },
    lentesud: {
        capacity: { milliCores: 32_000, memoryMb: 64 * MB_PER_GB, accelerators: 8 },
        ...{ checkpointIntervalMs: 500, restoreMs: 600, reclaimMs: 3_400 },
        queues: {
            catalogue: {
                ...LONG,
                ...{ rate: 0.28, milliCores: 13_000, memoryMb: 24 * MB_PER_GB, lateWorth: 0.9 },
                runMs: { mean: 15_700, sigma: 0.3, most: 25_400 },
            },
            readings: { ...AWAITED, rate: 0.37, milliCores: 3_700, memoryMb: 10 * MB_PER_GB },
            labels: {
                ...PATIENT,
                ...{ rate: 0.21, milliCores: 2_800, memoryMb: 5 * MB_PER_GB, lateWorth: 0.3 },
                runMs: { mean: 8_700, sigma: 0.3, most: 15_700 },
            },
        },
    },
};
