import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { ClusterState } from "./clusterState.js";
import type { EvacuationHolder } from "./evacuationHolder.js";
import type { OrderSender } from "./orderSender.js";
import { startsToWithdraw } from "./startWithdrawal.js";

export interface EvacuationEnforcerOptions {
    readonly evacuation: EvacuationHolder;
    readonly cluster: ClusterState;
    readonly jobs: ActiveJobs;
    readonly orders: OrderSender;
    readonly logger: Logger;
}

/** Keeps starts that were ordered before an evacuation from taking effect in its data centre. */
export class EvacuationEnforcer {
    constructor(private readonly options: EvacuationEnforcerOptions) {}

    /** Takes back the starts that an evacuation forbids. */
    withdrawStarts(): void {
        const { evacuation, cluster: { executors }, jobs, orders, logger } = this.options;
        const isEvacuated = (dataCentre: string): boolean => evacuation.isEvacuated(dataCentre);
        for (const tracked of startsToWithdraw({ executors, jobs, isEvacuated })) {
            const { jobId, task, run } = tracked;
            logger.log("info", "run.stopping", { task, run, reason: "evacuated" });
            jobs.byId.get(jobId)?.runStats.recordStop("evacuated");
            orders.withdraw(tracked);
        }
    }

    /** Logs what each evacuation concerns. One that concerns no executor may name a data centre that does not exist. */
    logState(): void {
        const { evacuation, cluster, logger } = this.options;
        for (const dataCentre of evacuation.current?.dataCentres ?? []) {
            const states = [...cluster.executors.values()].filter(({ info }) => info?.dataCentre === dataCentre);
            if (states.length === 0) {
                logger.log("warn", "evacuation.unknownDataCentre", { dataCentre });
            }
            else {
                const runs = states.reduce((sum, state) => sum + state.runs.size, 0);
                logger.log("info", "evacuation.state", { dataCentre, executors: states.length, runs });
            }
        }
    }
}
