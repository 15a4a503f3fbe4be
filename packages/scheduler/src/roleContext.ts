import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { RunTimeLearner } from "@persimmonpitch/placement/runTimeLearner.js";
import type { WorkerHealth } from "@persimmonpitch/placement/workerHealth.js";
import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import type { ActiveJobs } from "./activeJobs.js";
import type { AgentGateway } from "./agentGateway.js";
import type { EpochCheck, JobStore } from "./jobStore.js";
import type { RoleLease } from "./roleLease.js";

/** State and dependencies that the tasks of a role holder share. */
export interface RoleContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly monitor: InvariantMonitor;
    readonly region: string;
    /** Returns a random number in [0, 1), for retry jitter. */
    readonly random: () => number;
    readonly gateway: AgentGateway;
    readonly store: JobStore;
    readonly activeJobs: ActiveJobs;
    readonly role: RoleLease;
    readonly configuration: () => Configuration | undefined;
    /** Wakes the placement loop. */
    readonly wakeSignal: WakeSignal;
    /** Monotonic time at which the role was acquired. */
    readonly heldSince: number;
    /** Called when a job changes, to notify callers that wait for it. */
    readonly onJobChanged: (jobId: string) => void;
    /** Run time estimates; not persisted, so each holder starts without any. */
    readonly runTimes: RunTimeLearner;
    /** Task failures by worker; not persisted, so each holder starts without any. */
    readonly workerHealth: WorkerHealth;
}

/** The epoch check that makes writes of a former holder fail. */
export const epochCheckOf = ({ region, role }: RoleContext): EpochCheck => ({
    region,
    epochRowVersion: role.epochRowVersion,
});
