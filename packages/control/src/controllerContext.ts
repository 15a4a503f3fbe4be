import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { Link } from "@persimmonpitch/protocol/link.js";
import type { ConnectFailure } from "@persimmonpitch/protocol/plainTransport.js";
import type { StoredRow } from "@persimmonpitch/workload/storedRow.js";
import type { Timings } from "@persimmonpitch/workload/timings.js";
import type { Result } from "true-myth";
import type { AdvicePort } from "./advicePort.js";
import type { ConfigBook } from "./configBook.js";
import type { Replica } from "./replica.js";
import type { RoleRow } from "./rows.js";
import type { RowStore } from "./rowStore.js";

/** Opens a link to another process of the system. */
export type ConnectLink = (
    address: { readonly host: string; readonly port: number; },
    timeoutMs: Millis,
) => Promise<Result<Link, ConnectFailure>>;

/** What the controller works on. */
export interface ControllerContext {
    readonly store: RowStore;
    readonly replica: Replica;
    readonly config: ConfigBook;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly timings: Timings;
    readonly connect: ConnectLink;
    readonly random: () => number;
    /** The store's steady clock less our own; acceptance times are on the store's clock. */
    readonly storeOffsetMs: () => Millis;
    /** Makes rows known to all entries that were just written. */
    readonly announce: (rows: readonly StoredRow[]) => void;
    /** Whether other entries are known and none of them answers. */
    readonly isAlone: () => boolean;
    /** Undefined without an advice service. */
    readonly advice?: AdvicePort | undefined;
}

/** The role as the controller took it. */
export interface TakenRole {
    readonly epoch: number;
    /** Version of the role's row, a condition of every write. */
    readonly rowVersion: number;
    readonly takenAt: Millis;
    /** The row that gives the role away. */
    readonly released: RoleRow;
}
