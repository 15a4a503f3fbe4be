import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";

/** The put that writes one record, as part of a transaction. */
export const historyPut = (record: HistoryRecord): { readonly key: string; readonly value: unknown; } => ({
    key: `history/${record.team}/${record.subjectId}/${record.sequence.toString().padStart(4, "0")}`,
    value: { records: [record] },
});
