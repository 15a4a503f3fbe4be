import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Authority } from "./authority.js";
import type { ExecutorPort } from "./executorPort.js";

/** What all tasks of an agent share. */
export interface AgentContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly port: ExecutorPort;
    readonly authority: Authority;
    readonly random: () => number;
    /** Aborts when the agent stops. */
    readonly signal: AbortSignal;
    /** Tells the controllers' connections that a report may have changed. */
    readonly onChange: () => void;
}
