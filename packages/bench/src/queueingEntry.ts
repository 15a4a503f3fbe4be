import type { DirectEntry } from "./directEntry.js";
import type { DirectExecutor } from "./directExecutor.js";
import type { DirectRecord } from "./directRecord.js";
import type { DirectSurroundings } from "./directSurroundings.js";

/** An entry that sends each request at once to an executor, which queues it without bound. */
export class QueueingEntry implements DirectEntry {
    private readonly left = new Set<DirectExecutor>();

    constructor(
        private readonly index: number,
        private readonly around: DirectSurroundings,
        private readonly choose: (executors: readonly DirectExecutor[]) => DirectExecutor | undefined,
    ) {}

    submit(record: DirectRecord): void {
        const executor = this.choose(this.around.executors.filter(other => !this.left.has(other)));
        if (executor === undefined) {
            this.around.tellClient(record, "refused");
            return;
        }
        this.around.attempt(this.index, executor, record, outcome => {
            if (outcome === "leaving") {
                this.leaving(executor);
                this.submit(record);
                return;
            }
            this.around.tellClient(record, outcome === "answered" ? "answered" : "failed");
        });
    }

    // The baselines know no load.
    report(): void {
        return;
    }

    leaving(executor: DirectExecutor): void {
        this.left.add(executor);
    }

    sweep(): void {
        return;
    }
}
