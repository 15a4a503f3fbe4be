import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { ControllerEpoch } from "./controllerEpoch.js";
import type { ExecutorPort } from "./executorPort.js";

/** Dependencies shared by all tasks of an agent. */
export interface AgentContext {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly port: ExecutorPort;
    readonly controllerEpoch: ControllerEpoch;
    readonly random: () => number;
    /** Aborts when the agent shuts down. */
    readonly signal: AbortSignal;
    /** Notifies the controller connections that an executor's report may have changed. */
    readonly onReportChange: () => void;
}
