import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { Attempt } from "@persimmonpitch/schema/job.js";
import type { ActiveJob } from "./activeJobs.js";
import { checkpointGraceMs, stopMembers } from "./gangOrders.js";
import { AGENT_LEASE_MS, CLOCK_DRIFT_FACTOR } from "./leaseTimes.js";
import type { MemberView } from "./memberView.js";
import { hasEnded } from "./memberView.js";
import type { RoleContext } from "./roleContext.js";

/** Interval at which the stop order is repeated to members that are still running. */
const STOP_RETRY_INTERVAL_MS: Millis = 5_000;

/** Stops the running members of an attempt; repeats the order while members are still running. */
export class MemberStopper {
    private stoppingSince: Millis | undefined;
    private lastOrderAt = -Infinity;
    private isPartialGangReported = false;

    constructor(
        private readonly context: RoleContext,
        private readonly job: ActiveJob,
        private readonly attempt: Attempt,
    ) {}

    stopRunningMembers(views: readonly MemberView[]): void {
        const { clock, role } = this.context;
        const now = clock.now();
        this.stoppingSince ??= now;
        this.reportPartialGang(views, now - this.stoppingSince);
        // A stop order can be lost when its connection closes, so it is repeated.
        if (!role.mayAct() || now - this.lastOrderAt < STOP_RETRY_INTERVAL_MS) {
            return;
        }
        this.lastOrderAt = now;
        const running = views.filter(({ state }) => state === "running").map(({ member }) => member);
        const { checkpointable } = this.job.stored.record.spec;
        void stopMembers(
            this.context,
            { ...this.attempt, members: running },
            checkpointable,
            checkpointGraceMs(this.context),
        )
            .then(() => {
                this.job.wakeSignal.wake();
            });
    }

    private reportPartialGang(views: readonly MemberView[], stoppingMs: Millis): void {
        const ended = views.filter(({ state }) => hasEnded(state) && state !== "finished").length;
        if (
            !this.isPartialGangReported && ended > 0
            && stoppingMs
                > AGENT_LEASE_MS * CLOCK_DRIFT_FACTOR + checkpointGraceMs(this.context) + STOP_RETRY_INTERVAL_MS
        ) {
            this.isPartialGangReported = true;
            const { jobId } = this.job.stored.record;
            this.context.monitor.report("I2", { job: jobId, ended, members: views.length, stoppingMs });
        }
    }
}
