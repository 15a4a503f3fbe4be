import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RunSample, SampledPlace } from "@persimmonpitch/dispatch/dispatchView.js";
import { ExecutorSpeeds } from "@persimmonpitch/dispatch/executorSpeeds.js";
import { sampledRunOf } from "@persimmonpitch/dispatch/sampledRun.js";
import { parseTaskName } from "@persimmonpitch/workload/taskName.js";
import type { TrackedRun } from "./executorState.js";
import type { OpenJob } from "./openJob.js";

/** Extrapolating from a smaller observed share of the work gives an unreliable task duration. */
const MIN_SAMPLED_SHARE = 0.5;
const MAX_SAMPLES = 300;

/** Where the members of a gang, or a run of its own, worked, and when the last of them was first listed. */
export interface SampledGang {
    readonly places: readonly SampledPlace[];
    readonly lastListedAt: Millis;
}

/** Recent task durations, used to estimate other tasks of the same queue and to learn the speeds of executors. */
export class RunSamples {
    readonly samples: RunSample[] = [];
    readonly speeds = new ExecutorSpeeds();

    /** Adds a completed run and records the duration of its task in the statistics of the job. */
    add(openJob: OpenJob, tracked: TrackedRun, { places, lastListedAt }: SampledGang, now: Millis): void {
        const stepIndex = parseTaskName(tracked.task)?.step ?? -1;
        const step = openJob.job.steps[stepIndex];
        if (step === undefined || tracked.firstListedAt === undefined) {
            return;
        }
        const share = 1 - (tracked.firstPercent ?? 0) / 100;
        const actualMs = (now - tracked.firstListedAt) / Math.max(share, MIN_SAMPLED_SHARE);
        if (actualMs > 0 && share >= MIN_SAMPLED_SHARE) {
            const workMs = Math.max(1, now - lastListedAt) / share;
            openJob.runStats.recordDuration(stepIndex, workMs, places.map(({ vm }) => vm));
            const { jobId, key, run } = tracked;
            const sampledRun = sampledRunOf({ jobId, key, run, places, step, workMs, endedAt: now });
            const sample = { queue: openJob.job.queue, declaredMs: step.declaredMs, actualMs, run: sampledRun };
            this.samples.push(sample);
            this.speeds.add(sample);
            if (this.samples.length > MAX_SAMPLES) {
                this.samples.shift();
            }
        }
    }
}
