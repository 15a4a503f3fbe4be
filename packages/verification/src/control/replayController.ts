import type { Clock } from "@persimmonpitch/clock/clock.js";
import { ActiveJobs } from "@persimmonpitch/control/activeJobs.js";
import { ClusterState } from "@persimmonpitch/control/clusterState.js";
import type { ExecutorState, TrackedRun } from "@persimmonpitch/control/executorState.js";
import type { OpenJob } from "@persimmonpitch/control/openJob.js";
import { ProgressWriter } from "@persimmonpitch/control/progressWriter.js";
import { Replica } from "@persimmonpitch/control/replica.js";
import type { RowStore } from "@persimmonpitch/control/rowStore.js";
import { silentLogger } from "@persimmonpitch/logging/logger.js";
import type { StoredRow } from "@persimmonpitch/workload/storedRow.js";
import { GatedStore } from "./gatedStore.js";

export const JOB_ID = "a";

/** What a controller is made of, without the tasks that decide when each part acts. */
export class ReplayController {
    readonly gate: GatedStore;
    readonly writer: ProgressWriter;
    readonly fleet: ClusterState;
    readonly open: OpenJob | undefined;
    readonly stopped = new AbortController();
    isLost = false;

    constructor(
        clock: Clock,
        store: RowStore,
        readonly epoch: number,
        roleVersion: number,
        rows: readonly StoredRow[],
    ) {
        const replica = new Replica(silentLogger);
        replica.apply([...rows]);
        const jobs = new ActiveJobs(replica, silentLogger);
        this.open = jobs.byId.get(JOB_ID);
        this.fleet = new ClusterState({
            jobs,
            clock,
            logger: silentLogger,
            maxAttempts: () => Infinity,
            onChanged: () => undefined,
        });
        this.gate = new GatedStore(store);
        this.writer = new ProgressWriter({
            store: this.gate,
            clock,
            logger: silentLogger,
            roleVersion,
            onRoleLost: () => {
                this.isLost = true;
            },
            announce: () => undefined,
        });
        void this.writer.run(this.stopped.signal);
    }

    executor(executorId: string): ExecutorState {
        return this.fleet.getOrAddExecutor(executorId, executorId);
    }

    /** The runs that the controller holds. */
    held(): readonly TrackedRun[] {
        return [...this.fleet.executors.values()].flatMap(({ runs }) => [...runs.values()]);
    }

    heldRun(key: string): TrackedRun | undefined {
        return this.held().find(held => held.key === key);
    }

    lose(key: string): void {
        const held = this.heldRun(key);
        if (held !== undefined) {
            this.fleet.markRunLost(held, "replayed");
        }
    }

    stop(): void {
        this.stopped.abort();
        this.gate.release("later");
    }
}
