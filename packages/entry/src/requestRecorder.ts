import { historyPut } from "@persimmonpitch/history/historyRow.js";
import type { Table } from "@persimmonpitch/platform/table.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { randomUUID } from "node:crypto";

/** Where records of direct requests go until they are durable. */
export interface RequestRecorder {
    /** At the bound new requests are refused, because their history could not be kept. */
    readonly isFull: boolean;
    /** Takes a record; `onDurable` is called once it is written. */
    add(record: HistoryRecord, onDurable: () => void): void;
    /** Writes what waits, for a shutdown. */
    drain(): Promise<void>;
}

/** Writes each record with a transaction of its own. */
export const createRecorder = (table: Table): RequestRecorder => {
    const pending = new Set<Promise<void>>();
    return {
        get isFull() {
            return pending.size >= 20_000;
        },
        add: (record, onDurable) => {
            const written = table.commit({ writeId: randomUUID(), checks: [], puts: [historyPut(record)], deletes: [] })
                .then(result => {
                    if (result.isOk) {
                        onDurable();
                    }
                })
                .finally(() => pending.delete(written));
            pending.add(written);
        },
        drain: async () => {
            await Promise.all(pending);
        },
    };
};
