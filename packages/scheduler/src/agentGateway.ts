import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { AgentIdentity } from "@persimmonpitch/protocol/agentMessages.js";
import type { CallError } from "@persimmonpitch/protocol/connection.js";
import type { ParamsOf, ResultOf } from "@persimmonpitch/protocol/method.js";
import type { OrderMethods, TaskReport } from "@persimmonpitch/protocol/taskMessages.js";
import type { Result } from "true-myth";

/** State of a worker VM's agent, as known to an entry process directly or through a peer. */
export interface KnownAgent {
    readonly identity: AgentIdentity;
    readonly connected: boolean;
    /** Monotonic time of the last report. */
    readonly lastReportAt: Millis;
    readonly leaving: boolean;
    /** Reported tasks, by attempt id. */
    readonly tasks: ReadonlyMap<string, TaskReport>;
}

/** Access of the role holder to the agents of the region. */
export interface AgentGateway {
    workerAgents(): readonly KnownAgent[];
    workerAgent(vmId: string): KnownAgent | undefined;
    sendOrder<Name extends keyof OrderMethods>(
        vmId: string,
        name: Name,
        params: ParamsOf<OrderMethods[Name]>,
        timeoutMs: Millis,
    ): Promise<Result<ResultOf<OrderMethods[Name]>, CallError>>;
}
