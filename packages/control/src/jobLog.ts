import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { criticalPathMs } from "@persimmonpitch/dispatch/criticalPath.js";
import type { WaitingUnit } from "@persimmonpitch/dispatch/passState.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { ConfigHolder } from "./configHolder.js";
import type { OpenJob } from "./openJob.js";
import { queueOfJob } from "./queueOfJob.js";

export interface JobLogOptions {
    readonly logger: Logger;
    readonly clock: Clock;
    readonly config: ConfigHolder;
    /** Offset of the store's monotonic clock from the local clock. */
    readonly storeClockOffsetMs: () => Millis;
    /** Returns how many times longer than normal a task takes on a VM; by default all are normal. */
    readonly slownessOf?: (vm: string) => number;
}

/** A waiting step is first logged after this time, then each time its wait has doubled. */
const FIRST_WAIT_LINE_MS: Millis = 4_000;

interface StepWait {
    readonly since: Millis;
    nextLineMs: Millis;
}

/** Logs job-level lines that show the history of a job without the lines of its runs. */
export class JobLog {
    private waits = new Map<string, StepWait>();

    constructor(private readonly options: JobLogOptions) {}

    /** Logs the outcome of a job that has ended. */
    logEnd(openJob: OpenJob): void {
        const { job, runStats, progress: { outcome } } = openJob;
        const acceptedAt = job.acceptedAt - this.options.storeClockOffsetMs();
        const elapsedMs = this.options.clock.now() - acceptedAt;
        const objectiveMs = this.objectiveOf(openJob);
        this.options.logger.log("info", "job.ended", {
            job: job.jobId,
            outcome,
            ms: Math.round(elapsedMs),
            // Each repetition has its own due time, so the job as a whole has no objective.
            objectiveMs: objectiveMs === undefined ? undefined : Math.round(objectiveMs),
            isInTime: outcome !== "completed" || objectiveMs === undefined ? undefined : elapsedMs <= objectiveMs,
            ...runStats.toLogFields(acceptedAt),
        });
    }

    /**
     * Logs steps that have been ready for a long time. `waiting` holds everything that a pass did not start, in pass
     * order.
     */
    logWaiting(waiting: readonly WaitingUnit[]): void {
        const now = this.options.clock.now();
        const waits = new Map<string, StepWait>();
        waiting.forEach(({ ranked: { unit, forecast, isGuaranteed }, kind }, ahead) => {
            const wait = this.waits.get(unit.stepId) ?? { since: now, nextLineMs: FIRST_WAIT_LINE_MS };
            waits.set(unit.stepId, wait);
            if (now - wait.since >= wait.nextLineMs) {
                wait.nextLineMs *= 2;
                this.options.logger.log("info", "job.waiting", {
                    job: unit.openOccurrence.view.job.jobId,
                    step: unit.stepIndex,
                    tasks: unit.keys.length,
                    ms: Math.round(now - wait.since),
                    how: kind,
                    ahead,
                    outlook: forecast.deadlineStatus,
                    slackMs: Math.round(forecast.slackMs),
                    isGuaranteed,
                });
            }
        });
        this.waits = waits;
    }

    /**
     * Returns the time within which the job counts as on time, based on the run times of its steps at normal speed, as
     * callers count it; `undefined` if they are not known. The longest observed runs would count nearly all late jobs as
     * on time, because a slow executor makes the run longer and the objective with it.
     */
    private objectiveOf({ job, runStats }: OpenJob): Millis | undefined {
        const { config, slownessOf = () => 1 } = this.options;
        const queue = queueOfJob(config.current, job);
        const longestPathMs = criticalPathMs(
            job,
            index => runStats.normalTaskMs(index, job.steps[index]?.isGang === true, slownessOf),
        );
        return queue === undefined || job.repetition !== undefined || longestPathMs === 0
            ? undefined
            : queue.slackFactor * longestPathMs + queue.targetLatencyMs;
    }
}
