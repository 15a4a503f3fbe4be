import type { DirectExecutor, DirectLoad } from "./directExecutor.js";
import type { DirectRecord } from "./directRecord.js";

/** What an entry does with requests and with news from executors. */
export interface DirectEntry {
    submit(record: DirectRecord): void;
    report(executor: DirectExecutor, load: DirectLoad): void;
    leaving(executor: DirectExecutor): void;
    sweep(): void;
}
