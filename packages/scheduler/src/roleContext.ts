import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { RunTimeLearner } from "@persimmonpitch/placement/runTimeLearner.js";
import type { WorkerHealth } from "@persimmonpitch/placement/workerHealth.js";
import type { Configuration } from "@persimmonpitch/schema/configuration.js";
import type { AgentGateway } from "./agentGateway.js";
import type { JobBook } from "./jobBook.js";
import type { EpochCheck, JobStore } from "./jobStore.js";
import type { HeldRole } from "./roleLease.js";

/** What the tasks of a role holder share. */
export interface RoleContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly monitor: InvariantMonitor;
    readonly region: string;
    /** Source of jitter, from 0 to 1. */
    readonly random: () => number;
    readonly gateway: AgentGateway;
    readonly store: JobStore;
    readonly book: JobBook;
    readonly role: HeldRole;
    readonly configuration: () => Configuration | undefined;
    /** Wakes the placement task. */
    readonly wake: WakeSignal;
    /** Monotonic time at which the role was taken. */
    readonly heldSince: number;
    /** Called when a job changes, for callers that wait for it. */
    readonly onJobChanged: (jobId: string) => void;
    /** What the holder has learned of run times; it starts anew with each holder. */
    readonly runTimes: RunTimeLearner;
    /** Which workers fail their tasks; it starts anew with each holder. */
    readonly workerHealth: WorkerHealth;
}

/** The check that makes a write of an older holder fail. */
export const epochCheckOf = ({ region, role }: RoleContext): EpochCheck => ({
    region,
    epochRowVersion: role.epochRowVersion,
});
