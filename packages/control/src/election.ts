import type { Clock, Millis } from "@persimmonpitch/clock/clock.js";
import { isAborted } from "@persimmonpitch/clock/isAborted.js";
import { WakeSignal } from "@persimmonpitch/clock/wakeSignal.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { TakenRole } from "./controllerContext.js";
import type { ControllerSuitability } from "./controllerSuitability.js";
import type { Replica } from "./replica.js";
import type { RoleRow } from "./rows.js";
import { rowKeys } from "./rows.js";
import type { RowStore } from "./rowStore.js";
import type { TableFollower } from "./tableFollower.js";

/** The role may be taken if the term row has not changed for this long while the store was responding. */
export const TERM_TIMEOUT_MS: Millis = 2_000;
const CHECK_INTERVAL_MS: Millis = 250;
/** A longer gap between two store responses restarts the observation of the term. */
const MAX_ANSWER_GAP_MS: Millis = 1_800;
const SYNC_TIMEOUT_MS: Millis = 3_000;

export interface ElectionOptions {
    readonly vm: string;
    readonly instanceId: string;
    readonly store: RowStore;
    readonly replica: Replica;
    readonly follower: TableFollower;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly random: () => number;
    readonly suitability: ControllerSuitability;
}

/** Acquires the controller role once no live process holds it. */
export class Election {
    private readonly wake = new WakeSignal();
    private termUnchangedSince: Millis;
    private lastAnswerAt: Millis;
    private observedTerm = 0;
    /**
     * Versions of the term when an entry refused a connection, by its instance id. The entry may be down, or a partition
     * may refuse connections to it: then it renews the term.
     */
    private readonly refusedAtTerm = new Map<string, number>();

    constructor(private readonly options: ElectionOptions) {
        this.termUnchangedSince = options.clock.now();
        this.lastAnswerAt = this.termUnchangedSince;
    }

    /** Records that the process with this instance id refuses connections, and so may be down. */
    markRefused(instanceId: string): void {
        this.refusedAtTerm.set(instanceId, this.termVersion);
        this.wake.wake();
    }

    /** Waits until the role is acquired. Returns `undefined` if `signal` aborts first. */
    async takeRole(signal: AbortSignal): Promise<TakenRole | undefined> {
        const { replica, clock, random, suitability } = this.options;
        suitability.resetYield();
        const stopListening = replica.listen(keys => {
            if (keys.includes(rowKeys.role) || keys.some(key => key.startsWith("entry/"))) {
                this.wake.wake();
            }
        });
        try {
            while (!signal.aborted) {
                this.observeTerm();
                const isVacant = this.mayTakeRole();
                if (!isVacant) {
                    suitability.resetYield();
                }
                if (isVacant && !suitability.shouldYield() && await this.isTermUnchanged() && !isAborted(signal)) {
                    const taken = await this.tryTakeRole(signal);
                    if (taken !== undefined) {
                        return taken;
                    }
                    // Random delay, so that entries that saw the same event do not retry at the same time.
                    await clock.sleep(random() * CHECK_INTERVAL_MS, signal);
                }
                await this.wake.wait(clock, CHECK_INTERVAL_MS, signal);
            }
            return undefined;
        }
        finally {
            stopListening();
        }
    }

    /** 0 before the first term. */
    private get termVersion(): number {
        return this.options.replica.term?.version ?? 0;
    }

    private observeTerm(): void {
        const { follower, clock } = this.options;
        const term = this.termVersion;
        const answeredAt = follower.answeredAt ?? this.lastAnswerAt;
        if (term !== this.observedTerm || answeredAt - this.lastAnswerAt > MAX_ANSWER_GAP_MS) {
            this.observedTerm = term;
            this.termUnchangedSince = clock.now();
        }
        this.lastAnswerAt = answeredAt;
    }

    private mayTakeRole(): boolean {
        const { replica, follower, vm, instanceId, clock } = this.options;
        if (follower.version === undefined) {
            return false;
        }
        const role = replica.role?.value;
        if (role === undefined || role.isReleased) {
            return true;
        }
        const currentInstance = replica.entries.get(role.vm)?.value.instanceId;
        const isSuperseded = role.vm === vm
            ? role.instanceId !== instanceId
            : currentInstance !== undefined && currentInstance !== role.instanceId;
        const isRefusedSinceRenewal = this.refusedAtTerm.get(role.instanceId) === this.termVersion;
        if (isSuperseded || isRefusedSinceRenewal) {
            return true;
        }
        return clock.now() - this.termUnchangedSince > TERM_TIMEOUT_MS
            && clock.now() - this.lastAnswerAt < MAX_ANSWER_GAP_MS;
    }

    /**
     * Checks the observed term against the store itself, because changes can reach a follower late, for example while
     * the store drops its history.
     */
    private async isTermUnchanged(): Promise<boolean> {
        const { store, clock } = this.options;
        const observedVersion = this.termVersion;
        const page = await store.scan({ from: rowKeys.term, to: `${rowKeys.term}\u0000`, limit: 1 });
        if (page.isErr) {
            return false;
        }
        const isUnchanged = (page.value.rows[0]?.version ?? 0) <= observedVersion;
        if (!isUnchanged) {
            this.termUnchangedSince = clock.now();
        }
        return isUnchanged;
    }

    private async tryTakeRole(signal: AbortSignal): Promise<TakenRole | undefined> {
        const { vm, instanceId, store, replica, clock, logger } = this.options;
        const knownRole = replica.role;
        const row: RoleRow = { vm, instanceId, epoch: (knownRole?.value.epoch ?? 0) + 1, isReleased: false };
        const takenAt = clock.now();
        const outcome = await store.commit({
            expected: [{ key: rowKeys.role, version: knownRole?.version ?? 0 }],
            puts: [
                { key: rowKeys.role, value: JSON.stringify(row) },
                { key: rowKeys.term, value: JSON.stringify({ epoch: row.epoch, beat: 0 }) },
            ],
        });
        const rowVersion = outcome.isOk ? outcome.value.version : await this.findWrittenVersion(row);
        const releaseRow: RoleRow = { ...row, isReleased: true };
        const isSynced = rowVersion !== undefined && await this.waitUntilSynced(rowVersion, signal);
        if (rowVersion !== undefined && isAborted(signal)) {
            // This process is shutting down and will not use the role, so the next entry need not wait for the term to
            // expire.
            await store.commit({
                expected: [{ key: rowKeys.role, version: rowVersion }],
                puts: [{ key: rowKeys.role, value: JSON.stringify(releaseRow) }],
            });
            return undefined;
        }
        if (rowVersion === undefined || !isSynced) {
            return undefined;
        }
        logger.log("info", "role.taken", { epoch: row.epoch, from: knownRole?.value.vm });
        return { epoch: row.epoch, rowVersion, takenAt, releaseRow };
    }

    /** After an unclear commit, returns the version of the role row if it holds the value that this process wrote. */
    private async findWrittenVersion(row: RoleRow): Promise<number | undefined> {
        const page = await this.options.store.scan({ from: rowKeys.role, to: `${rowKeys.role}\u0000`, limit: 1 });
        const found = page.isOk ? page.value.rows[0] : undefined;
        return found?.value === JSON.stringify(row) ? found.version : undefined;
    }

    /** Waits until the replica includes everything written before the role was taken. */
    private async waitUntilSynced(version: number, signal: AbortSignal): Promise<boolean> {
        const { follower, clock } = this.options;
        const until = clock.now() + SYNC_TIMEOUT_MS;
        while ((follower.version ?? 0) < version && clock.now() < until && !signal.aborted) {
            await clock.sleep(5, signal);
        }
        return (follower.version ?? 0) >= version;
    }
}
