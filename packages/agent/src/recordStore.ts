import type { HistoryRecord } from "@persimmonpitch/schema/historyRecord.js";

/** At this bound new requests are refused rather than run without a second copy of their record. */
export const MAX_RECORDS = 20_000;

interface Entry {
    readonly record: HistoryRecord;
    readonly entryInstanceId: string;
}

/** Records of answered direct requests, kept until the entry that asked has made them durable. */
export class RecordStore {
    private readonly records = new Map<string, Entry>();

    get isFull(): boolean {
        return this.records.size >= MAX_RECORDS;
    }

    get size(): number {
        return this.records.size;
    }

    add(record: HistoryRecord, entryInstanceId: string): void {
        this.records.set(record.subjectId, { record, entryInstanceId });
    }

    /** Drops records that are durable. */
    confirm(requestIds: readonly string[]): void {
        requestIds.forEach(requestId => this.records.delete(requestId));
    }

    /** Records of entries that are gone, for another entry to write. */
    orphans(connectedEntries: ReadonlySet<string>, limit: number): readonly HistoryRecord[] {
        const orphaned: HistoryRecord[] = [];
        for (const { record, entryInstanceId } of this.records.values()) {
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
