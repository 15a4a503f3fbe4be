import type { DispatchDecision, StartDecision, StopDecision } from "@persimmonpitch/dispatch/dispatchView.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { taskName } from "@persimmonpitch/workload/taskName.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { ClusterState } from "./clusterState.js";
import type { TrackedRun } from "./executorState.js";
import type { OrderSender } from "./orderSender.js";
import type { ProgressWriter } from "./progressWriter.js";

export interface DecisionApplierOptions {
    readonly cluster: ClusterState;
    readonly jobs: ActiveJobs;
    readonly orders: OrderSender;
    readonly writer: ProgressWriter;
    readonly logger: Logger;
}

/** Applies the decisions of a pass. Start orders are sent once their claim is durable, stop orders immediately. */
export class DecisionApplier {
    constructor(private readonly options: DecisionApplierOptions) {}

    apply(decision: DispatchDecision): void {
        switch (decision.kind) {
            case "start":
                this.applyStart(decision);
                return;
            case "stop":
                this.applyStop(decision);
                return;
            default: {
                const never: never = decision;
                return never;
            }
        }
    }

    private applyStart({ jobId, run, tasks }: StartDecision): void {
        const openJob = this.options.jobs.byId.get(jobId);
        if (openJob === undefined) {
            return;
        }
        const trackedRuns = tasks.flatMap(({ key, executorId }) => {
            const state = this.options.cluster.executors.get(executorId);
            return state === undefined ? [] : [this.options.cluster.claim(openJob, key, run, state)];
        });
        this.options.writer.markDirty(openJob);
        void this.startWhenDurable(trackedRuns);
    }

    private async startWhenDurable(trackedRuns: readonly TrackedRun[]): Promise<void> {
        if (!await this.options.writer.flushed()) {
            return;
        }
        for (const tracked of trackedRuns) {
            tracked.isClaimDurable = true;
            this.options.logger.log("info", "run.ordered", {
                task: tracked.task,
                run: tracked.run,
                executor: tracked.executorId,
            });
            this.options.orders.start(tracked);
        }
    }

    private applyStop({ jobId, key, run, reason }: StopDecision): void {
        const task = taskName(jobId, key);
        for (const state of this.options.cluster.executors.values()) {
            const tracked = state.runs.get(task);
            if (tracked?.run === run && !tracked.isStopping) {
                this.options.logger.log("info", "run.stopping", { task, run, reason });
                this.options.jobs.byId.get(jobId)?.runStats.recordStop(reason);
                this.options.orders.stop(tracked);
            }
        }
    }
}
