import type { ObjectStore, ObjectStoreError } from "@persimmonpitch/backing/objectStore.js";
import type { Clock } from "@persimmonpitch/clock/clock.js";
import { Result } from "true-myth";
import * as z from "zod";

/** Faults that a test can cause. */
export const objectStoreFaultsSchema = z.object({
    /** Every call answers `unavailable`. */
    down: z.boolean(),
    /** Delay before each call takes effect, in milliseconds. */
    slow: z.number().nonnegative(),
});
export type ObjectStoreFaults = z.infer<typeof objectStoreFaultsSchema>;

/** The platform's object store in memory. */
export class MemoryObjectStore implements ObjectStore {
    readonly faults: ObjectStoreFaults = { down: false, slow: 0 };
    private readonly objects = new Map<string, string>();

    constructor(private readonly clock: Clock) {}

    async put(key: string, content: string): Promise<Result<undefined, ObjectStoreError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        this.objects.set(key, content);
        return Result.ok(undefined);
    }

    async get(key: string): Promise<Result<string, ObjectStoreError>> {
        const fault = await this.delayOrFail();
        if (fault !== undefined) {
            return Result.err(fault);
        }
        const content = this.objects.get(key);
        return content === undefined ? Result.err({ kind: "missing", key }) : Result.ok(content);
    }

    private async delayOrFail(): Promise<ObjectStoreError | undefined> {
        if (this.faults.slow > 0) {
            await this.clock.sleep(this.faults.slow);
        }
        return this.faults.down ? { kind: "unavailable", detail: "the object store is down" } : undefined;
    }
}
