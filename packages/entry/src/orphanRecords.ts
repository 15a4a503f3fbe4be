import type { Table } from "@persimmonpitch/backing/table.js";
import { orphanPut } from "@persimmonpitch/history/historyRow.js";
import type { Logger } from "@persimmonpitch/logging/logger.js";
import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";

/** Writes records of an entry that went away, and returns the requests whose records are durable. */
export const writeOrphans = async (
    table: Table,
    logger: Logger,
    records: readonly HistoryRecord[],
): Promise<readonly string[]> => {
    const puts = records.map(orphanPut);
    const written = await table.commit({
        writeId: `orphans-${records.map(({ subjectId }) => subjectId).join(",")}`,
        // Another entry may have written the same records already; the rows are equal, so they are written again.
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
