import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";

/** At this limit new requests are refused, because they would run without a second copy of their record. */
export const MAX_UNCONFIRMED_RECORDS = 20_000;

interface UnconfirmedRecord {
    readonly record: HistoryRecord;
    readonly entryInstanceId: string;
}

/** Records of answered direct requests, kept until the entry that sent the request confirms that they are durable. */
export class UnconfirmedRecords {
    private readonly recordsByRequest = new Map<string, UnconfirmedRecord>();

    get isFull(): boolean {
        return this.recordsByRequest.size >= MAX_UNCONFIRMED_RECORDS;
    }

    get size(): number {
        return this.recordsByRequest.size;
    }

    add(record: HistoryRecord, entryInstanceId: string): void {
        this.recordsByRequest.set(record.subjectId, { record, entryInstanceId });
    }

    /** Drops records that an entry has made durable. */
    confirm(requestIds: readonly string[]): void {
        requestIds.forEach(requestId => this.recordsByRequest.delete(requestId));
    }

    /** Records whose entry is no longer connected, to be written by another entry. */
    orphanedRecords(connectedEntries: ReadonlySet<string>, limit: number): readonly HistoryRecord[] {
        const orphaned: HistoryRecord[] = [];
        for (const { record, entryInstanceId } of this.recordsByRequest.values()) {
            if (orphaned.length >= limit) {
                break;
            }
            if (!connectedEntries.has(entryInstanceId)) {
                orphaned.push(record);
            }
        }
        return orphaned;
    }
}
