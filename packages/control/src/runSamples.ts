import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RunSample } from "@persimmonpitch/dispatch/dispatchView.js";
import { parseTaskName } from "@persimmonpitch/workload/taskName.js";
import type { TrackedRun } from "./executorState.js";
import type { OpenJob } from "./openJob.js";

/** Extrapolating from a smaller observed share of the work gives an unreliable task duration. */
const MIN_SAMPLED_SHARE = 0.5;
const MAX_SAMPLES = 300;

/** Recent task durations, used to estimate other tasks of the same queue. */
export class RunSamples {
    readonly samples: RunSample[] = [];

    /** Adds a completed run and records the duration of its task in the statistics of the job. */
    add(openJob: OpenJob, tracked: TrackedRun, vm: string, now: Millis): void {
        const stepIndex = parseTaskName(tracked.task)?.step ?? -1;
        const step = openJob.job.steps[stepIndex];
        if (step === undefined || tracked.firstListedAt === undefined) {
            return;
        }
        const share = 1 - (tracked.firstPercent ?? 0) / 100;
        const actualMs = (now - tracked.firstListedAt) / Math.max(share, MIN_SAMPLED_SHARE);
        if (actualMs > 0 && share >= MIN_SAMPLED_SHARE) {
            openJob.runStats.recordDuration(stepIndex, actualMs, vm);
            this.samples.push({ queue: openJob.job.queue, declaredMs: step.declaredMs, actualMs });
            if (this.samples.length > MAX_SAMPLES) {
                this.samples.shift();
            }
        }
    }
}
