import type { Table } from "@persimmonpitch/backing/table.js";
import { orphanPut } from "@persimmonpitch/history/historyRow.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";

/**
 * Writes history records that an entry had not made durable before it stopped, as returned by the agents that keep
 * copies. Returns the ids of the requests whose records are now durable.
 */
export const writeOrphanedRecords = async (
    table: Table,
    logger: Logger,
    records: readonly HistoryRecord[],
): Promise<readonly string[]> => {
    const puts = records.map(orphanPut);
    const written = await table.commit({
        writeId: `orphans-${records.map(({ subjectId }) => subjectId).join(",")}`,
        // Another entry may already have written the same records; the rows are equal, so overwriting them is safe.
        checks: [],
        puts,
        deletes: [],
    });
    if (written.isErr) {
        logger.log("warn", "history.orphansNotWritten", { kind: written.error.kind, records: records.length });
        return [];
    }
    logger.log("info", "history.orphansWritten", { records: records.length });
    return records.map(({ subjectId }) => subjectId);
};
