import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";
import { historyRecordSchema } from "@persimmonpitch/schema/historyRecord.js";
import * as z from "zod";

/** The value of a history row. */
export const historyRowSchema = z.object({ records: z.array(historyRecordSchema).min(1) });
export type HistoryRow = z.infer<typeof historyRowSchema>;

/** A put for a transaction. */
export interface HistoryPut {
    readonly key: string;
    readonly value: HistoryRow;
}

const SEQUENCE_DIGITS = 4;

/** The prefix of all history rows of a team. */
export const historyPrefix = (team: string): string => `history/${team}/`;

/** The put that writes one record, as part of a transaction. */
export const historyPut = (record: HistoryRecord): HistoryPut => ({
    key: `${historyPrefix(record.team)}${record.subjectId}/${
        record.sequence.toString().padStart(SEQUENCE_DIGITS, "0")
    }`,
    value: { records: [record] },
});

/** The puts that write records of several teams together, one row for each team. */
export const historyBatchPuts = (batchId: string, records: readonly HistoryRecord[]): readonly HistoryPut[] => {
    const byTeam = new Map<string, HistoryRecord[]>();
    for (const record of records) {
        const ofTeam = byTeam.get(record.team) ?? [];
        ofTeam.push(record);
        byTeam.set(record.team, ofTeam);
    }
    return [...byTeam].map(([team, ofTeam]) => ({
        key: `${historyPrefix(team)}batch-${batchId}`,
        value: { records: ofTeam },
    }));
};

/** The prefix of a team's records that agents handed over after their entry went away. */
export const orphanPrefix = (team: string): string => `${historyPrefix(team)}orphan-`;

/** The put of a record whose entry went away; it may also stand in a batch that the entry wrote before. */
export const orphanPut = (record: HistoryRecord): HistoryPut => ({
    key: `${orphanPrefix(record.team)}${record.subjectId}`,
    value: { records: [record] },
});
