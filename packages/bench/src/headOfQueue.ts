import type { WorkClass } from "@persimmonpitch/schema/job.js";
import { workClassSchema } from "@persimmonpitch/schema/job.js";
import type { ReplayJob } from "./replayJob.js";
import { isPreemptible, LARGE_GANG, trueEnd } from "./replayJob.js";
import type { HeadWait } from "./replayResult.js";
import type { ReplayState } from "./replayState.js";

/** Measures how long large gangs head the queue, and how long they may. */
export class HeadOfQueue {
    readonly waits: HeadWait[] = [];

    constructor(private readonly state: ReplayState) {}

    /** Finds large gangs before which no job of the same or a more urgent class was accepted that still waits. */
    noteHeads(): void {
        const waiting = [...this.state.waiting.keys()].map(jobId => this.state.job(jobId));
        const large = waiting.filter(({ size }) => size >= LARGE_GANG);
        if (this.state.isStoreDown || large.every(({ head }) => head !== undefined)) {
            return;
        }
        const earliest = this.earliestByClass();
        for (const job of large) {
            if (job.head === undefined && job.acceptedAt <= earliest[job.trace.spec.workClass]) {
                const ends = [...this.state.placed.values()].filter(other => isInTheWay(other, job)).map(trueEnd);
                const { preemptionGraceMs } = this.state.trace.deployment.rules;
                job.head = { at: this.state.now, mayWaitUntil: Math.max(this.state.now, ...ends) + preemptionGraceMs };
            }
        }
    }

    /** Urgent work within its guarantee may still go before a gang that heads the queue. */
    extendHeads(started: ReplayJob): void {
        if (!started.isWithinGuarantee) {
            return;
        }
        const { preemptionGraceMs } = this.state.trace.deployment.rules;
        for (const jobId of this.state.waiting.keys()) {
            const { head } = this.state.job(jobId);
            if (head !== undefined) {
                head.mayWaitUntil = Math.max(head.mayWaitUntil, trueEnd(started) + preemptionGraceMs);
            }
        }
    }

    /** Notes how long the job was at the head, if it was. */
    leaveHead(job: ReplayJob): void {
        if (job.head !== undefined) {
            const { at, mayWaitUntil } = job.head;
            this.waits.push({ jobId: job.trace.jobId, waitMs: this.state.now - at, boundMs: mayWaitUntil - at });
        }
        job.head = undefined;
    }

    private earliestByClass(): Readonly<Record<WorkClass, number>> {
        const earliest = {
            urgent: Infinity,
            interactive: Infinity,
            standard: Infinity,
            batch: Infinity,
            bestEffort: Infinity,
        };
        for (const { spec, submittedAt } of this.state.waiting.values()) {
            earliest[spec.workClass] = Math.min(earliest[spec.workClass], submittedAt);
        }
        let soFar = Infinity;
        for (const workClass of workClassSchema.options) {
            soFar = Math.min(soFar, earliest[workClass]);
            earliest[workClass] = soFar;
        }
        return earliest;
    }
}

const isInTheWay = (placed: ReplayJob, waiting: ReplayJob): boolean =>
    placed !== waiting && (placed.isWithinGuarantee || !isPreemptible(placed.trace.spec));
