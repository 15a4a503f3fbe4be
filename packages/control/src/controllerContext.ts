import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { DispatchOptions } from "@persimmonpitch/dispatch/dispatchOptions.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { ConnectFailure } from "@persimmonpitch/protocol/plainTransport.js";
import type { StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import type { Result } from "true-myth";
import type { AdvicePort } from "./advicePort.js";
import type { ConfigHolder } from "./configHolder.js";
import type { EvacuationHolder } from "./evacuationHolder.js";
import type { Replica } from "./replica.js";
import type { RoleRow } from "./rows.js";
import type { RowStore } from "./rowStore.js";

/** Opens a link to another process of the system. */
export type ConnectLink = (
    address: { readonly host: string; readonly port: number; },
    timeoutMs: Millis,
) => Promise<Result<Link, ConnectFailure>>;

/** Dependencies of the controller. */
export interface ControllerContext {
    readonly store: RowStore;
    readonly replica: Replica;
    readonly config: ConfigHolder;
    readonly evacuation: EvacuationHolder;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly timings: Timings;
    readonly connect: ConnectLink;
    readonly random: () => number;
    /** Offset of the store's monotonic clock from the local clock. Acceptance times use the store's clock. */
    readonly storeClockOffsetMs: () => Millis;
    /** Shares committed rows with all entries. */
    readonly announce: (rows: readonly StoredRow[]) => void;
    /** Whether other entries are known but none of them responds. */
    readonly isIsolated: () => boolean;
    /** Whether a peer on a much larger VM has been in reach for a while. */
    readonly shouldHandOver: () => boolean;
    /** Whether the load is published for the admission of jobs; by default it is not. */
    readonly publishesLoad?: (() => boolean) | undefined;
    /** Parameters of the decisions that differ from the defaults. */
    readonly dispatchOptions?: (() => Partial<DispatchOptions>) | undefined;
    /** `undefined` if no advice service is configured. */
    readonly advice?: AdvicePort | undefined;
}

/** The controller role as acquired by this process. */
export interface TakenRole {
    readonly epoch: number;
    /** Version of the role row. Every write is conditional on it. */
    readonly rowVersion: number;
    readonly takenAt: Millis;
    /** Row value that releases the role. */
    readonly releaseRow: RoleRow;
}
