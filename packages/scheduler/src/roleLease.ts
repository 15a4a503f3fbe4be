import type { Row, Table } from "@persimmonpitch/backing/table.js";
import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import { randomUUID } from "node:crypto";
import { z } from "zod";
import { DRIFT_FACTOR } from "./leaseTimes.js";
import { rowKeys } from "./rowKeys.js";

/** The row of the scheduling role. */
export const roleRowSchema = z.object({
    holderId: z.string(),
    epoch: z.number().int().positive(),
    /** Written by a holder that leaves, so that the next one need not wait for the term to end. */
    released: z.boolean(),
});
export type RoleRow = z.infer<typeof roleRowSchema>;

/** Time after which a role that is not renewed may be taken. */
export const ROLE_TERM_MS: Millis = 4_000;
const RENEW_MS: Millis = 1_000;
const OBSERVE_MS: Millis = 500;

/** What a role lease works on. */
export interface RoleLeaseContext {
    readonly table: Table;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly region: string;
    readonly holderId: string;
}

/** The scheduling role while this process holds it. */
export class HeldRole {
    isLost = false;
    private isStoreDown = false;
    private lastAttemptAt: Millis;
    private validUntil: Millis;

    constructor(
        private readonly context: RoleLeaseContext,
        readonly epoch: number,
        readonly epochRowVersion: number,
        private rowVersion: number,
        acquiredAt: Millis,
    ) {
        this.lastAttemptAt = acquiredAt;
        this.validUntil = acquiredAt + ROLE_TERM_MS;
    }

    /** Whether the store is out and the role is kept because nobody can take it. */
    get isHeldOver(): boolean {
        return this.isStoreDown && !this.isLost;
    }

    /**
     * Whether an effect is allowed now. After a pause of the process both times are old, so nothing happens
     * before the next renewal has shown that the role is still held.
     */
    mayAct(): boolean {
        const now = this.context.clock.now();
        const isHeldOverNow = this.isStoreDown && now - this.lastAttemptAt < ROLE_TERM_MS;
        return !this.isLost && (now < this.validUntil || isHeldOverNow);
    }

    /** Renews the role until it is lost or `signal` aborts. */
    async keep(signal: AbortSignal): Promise<void> {
        const { clock } = this.context;
        await clock.sleep(RENEW_MS, signal);
        while (!signal.aborted && !this.isLost) {
            await this.renew(false);
            await clock.sleep(RENEW_MS, signal);
        }
    }

    /** Gives the role back. */
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
        this.lastAttemptAt = clock.now();
        if (written.isOk) {
            this.rowVersion = written.value[key] ?? this.rowVersion + 1;
            this.validUntil = sentAt + ROLE_TERM_MS;
            this.isStoreDown = false;
            return;
        }
        if (written.error.kind === "conflict") {
            await this.settleConflict(sentAt);
            return;
        }
        if (!this.isStoreDown) {
            logger.log("warn", "role.heldOver", { epoch: this.epoch, detail: written.error.detail });
        }
        this.isStoreDown = true;
    }

    /** An earlier renewal whose answer was lost may have raised the version; only another holder takes the role. */
    private async settleConflict(sentAt: Millis): Promise<void> {
        const { table, region, holderId, logger } = this.context;
        const read = await table.read(rowKeys.role(region));
        if (read.isErr) {
            this.isStoreDown = true;
            return;
        }
        const role = roleRowSchema.safeParse(read.value?.value);
        if (role.success && role.data.holderId === holderId && role.data.epoch === this.epoch) {
            this.rowVersion = read.value?.version ?? this.rowVersion;
            this.validUntil = sentAt + ROLE_TERM_MS;
            this.isStoreDown = false;
            return;
        }
        this.isLost = true;
        logger.log("warn", "role.lost", { epoch: this.epoch, to: role.data?.holderId });
    }
}

const takeRole = async (context: RoleLeaseContext, row: Row | undefined): Promise<HeldRole | undefined> => {
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
        ? new HeldRole(context, epoch, written.value[epochKey] ?? 1, written.value[key] ?? 1, sentAt)
        : undefined;
};

/** Waits until the role is free and takes it; undefined when `signal` aborts first. */
export const acquireRole = async (context: RoleLeaseContext, signal: AbortSignal): Promise<HeldRole | undefined> => {
    const { table, clock, logger, region } = context;
    let observedVersion = -1;
    let observedSince = clock.now();
    while (!signal.aborted) {
        const read = await table.read(rowKeys.role(region));
        const version = read.isOk ? read.value?.version ?? 0 : -1;
        // While the table cannot be read, the holder cannot renew either; its term starts anew afterwards.
        if (version !== observedVersion || version === -1) {
            observedVersion = version;
            observedSince = clock.now();
        }
        const role = read.isOk ? roleRowSchema.safeParse(read.value?.value) : undefined;
        const isFree = read.isOk && (read.value === undefined || role?.data?.released === true);
        const isLapsed = clock.now() - observedSince >= ROLE_TERM_MS * DRIFT_FACTOR;
        if (read.isOk && (isFree || isLapsed)) {
            const held = await takeRole(context, read.value);
            if (held !== undefined) {
                logger.log("info", "role.acquired", { region, epoch: held.epoch });
                return held;
            }
        }
        await clock.sleep(OBSERVE_MS, signal);
    }
    return undefined;
};
