import type { Table } from "@persimmonpitch/backing/table.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { SchedulingRole } from "@persimmonpitch/scheduler/schedulingRole.js";
import type { AgentRegistry } from "./agentRegistry.js";
import type { ConfigStore } from "./configStore.js";
import type { LeaseGranter } from "./leaseGranter.js";

/** State and dependencies that the tasks of all inbound connections share. */
export interface InboundConnectionContext {
    readonly entryId: string;
    /** New at each start of the process. */
    readonly entryInstanceId: string;
    readonly region: string;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly registry: AgentRegistry;
    readonly leaseGranter: LeaseGranter;
    readonly configStore: ConfigStore;
    readonly role: SchedulingRole;
    readonly table: Table;
    /** Ids of the other entries of the region; only they may call the peer methods. */
    readonly peerIds: ReadonlySet<string>;
    /** Called when a peer that was not known as the holder reports that it holds the scheduling role. */
    readonly onNewHolder: () => void;
}
