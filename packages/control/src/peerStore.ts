import type { Millis } from "@persimmonpitch/clock/clock.js";
import type { CallError, Connection } from "@persimmonpitch/protocol/connection.js";
import type { StoreMethods, StoreTable } from "@persimmonpitch/protocol/storeMessages.js";
import type {
    CommitError,
    Committed,
    ReadError,
    RowChanges,
    RowPage,
    RowRange,
    RowTransaction,
} from "@persimmonpitch/workload/storedRow.js";
import { rowTransactionSchema } from "@persimmonpitch/workload/storedRow.js";
import { Result } from "true-myth";
import type { RowStore } from "./rowStore.js";

const CALL_TIMEOUT_MS: Millis = 1_500;

const readError = ({ detail }: CallError): ReadError => ({ kind: "unavailable", detail });

/** A store whose calls are made by a peer. */
export class PeerStore implements RowStore {
    constructor(
        private readonly connection: Connection<Record<string, never>, StoreMethods>,
        private readonly table: StoreTable,
    ) {}

    async commit(transaction: RowTransaction): Promise<Result<Committed, CommitError>> {
        const params = { table: this.table, transaction: rowTransactionSchema.parse(transaction) };
        const answer = await this.connection.call("store.commit", params, CALL_TIMEOUT_MS);
        if (answer.isErr) {
            const { kind, detail } = answer.error;
            return Result.err({ kind: kind === "notSent" ? "unavailable" : "unclear", detail });
        }
        return answer.value.kind === "ok" ? Result.ok(answer.value.value) : Result.err(answer.value.error);
    }

    async scan(range: RowRange): Promise<Result<RowPage, ReadError>> {
        const answer = await this.connection.call("store.scan", { table: this.table, range }, CALL_TIMEOUT_MS);
        if (answer.isErr) {
            return Result.err(readError(answer.error));
        }
        return answer.value.kind === "ok" ? Result.ok(answer.value.value) : Result.err(answer.value.error);
    }

    async follow(after: number, waitMs: Millis): Promise<Result<RowChanges, ReadError>> {
        const params = { table: this.table, after, waitMs };
        const answer = await this.connection.call("store.follow", params, waitMs + CALL_TIMEOUT_MS);
        if (answer.isErr) {
            return Result.err(readError(answer.error));
        }
        return answer.value.kind === "ok" ? Result.ok(answer.value.value) : Result.err(answer.value.error);
    }
}
