import type { Row, Table } from "@persimmonpitch/backing/table.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { randomUUID } from "node:crypto";
import * as z from "zod";
import { CLOCK_DRIFT_FACTOR } from "./leaseTimes.js";
import { rowKeys } from "./rowKeys.js";

/** The table row of the scheduling role's lease. */
export const roleRowSchema = z.object({
    holderId: z.string(),
    epoch: z.number().int().positive(),
    /** Set by a holder that shuts down, so that the next one need not wait for the lease to expire. */
    released: z.boolean(),
});
export type RoleRow = z.infer<typeof roleRowSchema>;

/** Duration of the role lease, counted from the time at which the last successful write was sent. */
export const ROLE_LEASE_MS: Millis = 4_000;
const RENEW_INTERVAL_MS: Millis = 1_000;
const ACQUIRE_POLL_MS: Millis = 500;

/** Dependencies of the role lease. */
export interface RoleLeaseContext {
    readonly table: Table;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly region: string;
    readonly holderId: string;
}

/** The lease of the scheduling role, as held by this process. */
export class RoleLease {
    isLost = false;
    private isStoreUnavailable = false;
    private lastRenewalAttemptAt: Millis;
    private validUntil: Millis;

    constructor(
        private readonly context: RoleLeaseContext,
        readonly epoch: number,
        readonly epochRowVersion: number,
        private rowVersion: number,
        acquiredAt: Millis,
    ) {
        this.lastRenewalAttemptAt = acquiredAt;
        this.validUntil = acquiredAt + ROLE_LEASE_MS;
    }

    /**
     * Whether the lease is extended past its expiry because the store is unavailable: while the holder cannot renew,
     * no other process can acquire the role either.
     */
    get isExtendedByOutage(): boolean {
        return this.isStoreUnavailable && !this.isLost;
    }

    /**
     * Whether the holder may act now. After a pause of the process, both the expiry and the last renewal attempt are
     * too old, so it may not act until a renewal has confirmed the lease.
     */
    mayAct(): boolean {
        const now = this.context.clock.now();
        const isExtended = this.isStoreUnavailable && now - this.lastRenewalAttemptAt < ROLE_LEASE_MS;
        return !this.isLost && (now < this.validUntil || isExtended);
    }

    /** Renews the lease periodically until it is lost or `signal` aborts. */
    async renewUntilLost(signal: AbortSignal): Promise<void> {
        const { clock } = this.context;
        await clock.sleep(RENEW_INTERVAL_MS, signal);
        while (!signal.aborted && !this.isLost) {
            await this.renew(false);
            await clock.sleep(RENEW_INTERVAL_MS, signal);
        }
    }

    /** Releases the lease, so that another process can acquire it immediately. */
    async release(): Promise<void> {
        if (!this.isLost) {
            await this.renew(true);
            this.isLost = true;
        }
    }

    private async renew(released: boolean): Promise<void> {
        const { table, clock, region, holderId, logger } = this.context;
        const sentAt = clock.now();
        const key = rowKeys.role(region);
        const value: RoleRow = { holderId, epoch: this.epoch, released };
        const written = await table.commit({
            writeId: randomUUID(),
            checks: [{ key, version: this.rowVersion }],
            puts: [{ key, value }],
            deletes: [],
        });
        this.lastRenewalAttemptAt = clock.now();
        if (written.isOk) {
            this.rowVersion = written.value[key] ?? this.rowVersion + 1;
            this.validUntil = sentAt + ROLE_LEASE_MS;
            this.isStoreUnavailable = false;
            return;
        }
        if (written.error.kind === "conflict") {
            await this.resolveRenewalConflict(sentAt);
            return;
        }
        if (!this.isStoreUnavailable) {
            logger.log("warn", "role.heldOver", { epoch: this.epoch, detail: written.error.detail });
        }
        this.isStoreUnavailable = true;
    }

    /** An earlier renewal without a response may have raised the row version; only another holder means a loss. */
    private async resolveRenewalConflict(sentAt: Millis): Promise<void> {
        const { table, region, holderId, logger } = this.context;
        const read = await table.read(rowKeys.role(region));
        if (read.isErr) {
            this.isStoreUnavailable = true;
            return;
        }
        const role = roleRowSchema.safeParse(read.value?.value);
        if (role.success && role.data.holderId === holderId && role.data.epoch === this.epoch) {
            this.rowVersion = read.value?.version ?? this.rowVersion;
            this.validUntil = sentAt + ROLE_LEASE_MS;
            this.isStoreUnavailable = false;
            return;
        }
        this.isLost = true;
        logger.log("warn", "role.lost", { epoch: this.epoch, to: role.data?.holderId });
    }
}

const tryAcquire = async (context: RoleLeaseContext, row: Row | undefined): Promise<RoleLease | undefined> => {
    const { table, clock, region, holderId } = context;
    const key = rowKeys.role(region);
    const epochKey = rowKeys.epoch(region);
    const epochRow = await table.read(epochKey);
    if (epochRow.isErr) {
        return undefined;
    }
    const previous = z.object({ epoch: z.number() }).safeParse(epochRow.value?.value);
    const epoch = (previous.success ? previous.data.epoch : 0) + 1;
    const sentAt = clock.now();
    const value: RoleRow = { holderId, epoch, released: false };
    const written = await table.commit({
        writeId: randomUUID(),
        checks: [{ key, version: row?.version ?? 0 }, { key: epochKey, version: epochRow.value?.version ?? 0 }],
        puts: [{ key, value }, { key: epochKey, value: { epoch } }],
        deletes: [],
    });
    return written.isOk
        ? new RoleLease(context, epoch, written.value[epochKey] ?? 1, written.value[key] ?? 1, sentAt)
        : undefined;
};

/** Waits until the lease is free or expired and acquires it; returns undefined if `signal` aborts first. */
export const acquireRoleLease = async (
    context: RoleLeaseContext,
    signal: AbortSignal,
): Promise<RoleLease | undefined> => {
    const { table, clock, logger, region } = context;
    let observedVersion = -1;
    let observedSince = clock.now();
    while (!signal.aborted) {
        const read = await table.read(rowKeys.role(region));
        const version = read.isOk ? read.value?.version ?? 0 : -1;
        // While the table is unavailable, the holder cannot renew either, so a read error restarts the observation.
        if (version !== observedVersion || version === -1) {
            observedVersion = version;
            observedSince = clock.now();
        }
        const role = read.isOk ? roleRowSchema.safeParse(read.value?.value) : undefined;
        const isFree = read.isOk && (read.value === undefined || role?.data?.released === true);
        const isExpired = clock.now() - observedSince >= ROLE_LEASE_MS * CLOCK_DRIFT_FACTOR;
        if (read.isOk && (isFree || isExpired)) {
            const lease = await tryAcquire(context, read.value);
            if (lease !== undefined) {
                logger.log("info", "role.acquired", { region, epoch: lease.epoch });
                return lease;
            }
        }
        await clock.sleep(ACQUIRE_POLL_MS, signal);
    }
    return undefined;
};
