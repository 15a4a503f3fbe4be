import type { Table } from "@persimmonpitch/backing/table.js";
import type { BurnRecorder } from "@persimmonpitch/burn/burnRecorder.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { HistoryBatcher } from "@persimmonpitch/history/historyBatcher.js";
import type { InvariantMonitor } from "@persimmonpitch/logging/invariantMonitor.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { JobStore } from "@persimmonpitch/scheduler/jobStore.js";
import type { SchedulingRole } from "@persimmonpitch/scheduler/schedulingRole.js";
import type { Configuration, Operator } from "@persimmonpitch/schema/configuration.js";
import type { FastifyRequest } from "fastify";
import type { AgentRegistry } from "./agentRegistry.js";
import { authenticate } from "./auth.js";
import type { ConfigStore } from "./configStore.js";
import type { DirectRequestDispatcher } from "./directRequestDispatcher.js";
import type { JobWaiters } from "./jobWaiters.js";
import type { LeaseGranter } from "./leaseGranter.js";
import type { PeerConnections } from "./peerConnections.js";
import { ProblemError } from "./problems.js";

/** Dependencies of the HTTP routes. */
export interface ApiContext {
    readonly entryId: string;
    readonly region: string;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly monitor: InvariantMonitor;
    readonly table: Table;
    readonly jobStore: JobStore;
    readonly role: SchedulingRole;
    readonly leaseGranter: LeaseGranter;
    readonly registry: AgentRegistry;
    readonly peers: PeerConnections;
    readonly configStore: ConfigStore;
    readonly directRequests: DirectRequestDispatcher;
    readonly historyBatcher: HistoryBatcher;
    readonly jobWaiters: JobWaiters;
    readonly burnRecorder: BurnRecorder;
    /** Monotonic time at which the process started; the burn report counts time from then. */
    readonly startedAt: Millis;
    readonly bootstrapOperator: Operator | undefined;
    readonly isShuttingDown: () => boolean;
}

/** Returns the configuration in force, or throws a problem: requests cannot be checked without one. */
export const requireConfiguration = ({ configStore }: ApiContext): Configuration => {
    if (configStore.configuration === undefined) {
        throw new ProblemError("noConfiguration");
    }
    return configStore.configuration;
};

/** Returns the id of the team that made the request, or throws a problem. */
export const requireTeam = (context: ApiContext, req: FastifyRequest): string => {
    requireConfiguration(context);
    const principal = authenticate(req.headers.authorization, context.configStore.configuration, undefined);
    if (principal === undefined) {
        throw new ProblemError("unauthenticated");
    }
    if (principal.kind !== "team") {
        throw new ProblemError("forbidden");
    }
    return principal.team;
};

/** Returns the id of the operator that made the request, or throws a problem. */
export const requireOperator = (context: ApiContext, req: FastifyRequest): string => {
    const { configuration } = context.configStore;
    const principal = authenticate(req.headers.authorization, configuration, context.bootstrapOperator);
    if (principal === undefined) {
        throw new ProblemError("unauthenticated");
    }
    if (principal.kind !== "operator") {
        throw new ProblemError("forbidden");
    }
    return principal.operator;
};
