import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { RunSample } from "@persimmonpitch/dispatch/dispatchView.js";
import { parseTaskName } from "@persimmonpitch/workload/taskName.js";
import type { HeldRun } from "./executorState.js";
import type { OpenJob } from "./openJob.js";

/** A run that began after this share of the work was done says too little about the whole. */
const MIN_SAMPLED_SHARE = 0.5;
const REMEMBERED_SAMPLES = 300;

/** What tasks took that ended lately, to estimate others of their queues. */
export class RunSamples {
    readonly samples: RunSample[] = [];

    /** Notes a run that is done, and for its job how long the task took. */
    note(open: OpenJob, held: HeldRun, now: Millis): void {
        const stepIndex = parseTaskName(held.task)?.step ?? -1;
        const step = open.job.steps[stepIndex];
        if (step === undefined || held.firstListedAt === undefined) {
            return;
        }
        const share = 1 - (held.firstPercent ?? 0) / 100;
        const actualMs = (now - held.firstListedAt) / Math.max(share, MIN_SAMPLED_SHARE);
        if (actualMs > 0 && share >= MIN_SAMPLED_SHARE) {
            open.tally.noteTime(stepIndex, actualMs);
            this.samples.push({ queue: open.job.queue, declaredMs: step.declaredMs, actualMs });
            if (this.samples.length > REMEMBERED_SAMPLES) {
                this.samples.shift();
            }
        }
    }
}
